/// @file
/// An HTTP server as the stand-ins need it, ended in order by SIGTERM.
#pragma once

#include <csignal>
#include <functional>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace standins {

/// Threads of one listening port. The thread sanitizer has room for fewer than 600 threads in a
/// process on arm64, and a stand-in listens on up to eight ports.
constexpr std::size_t kListenerThreads = 64;

/// Sets a server up for many long connections.
inline void Prepare(httplib::Server& aServer, std::size_t aThreads = kListenerThreads)
{
  aServer.new_task_queue = [aThreads] { return new httplib::ThreadPool(aThreads); };
  aServer.set_tcp_nodelay(true);
  aServer.set_keep_alive_max_count(1000000000);
  aServer.set_keep_alive_timeout(30);
}

/// Runs servers until SIGTERM or SIGINT. Signals must have been blocked by BlockSignals() before
/// any thread was started.
/// @p aLeave is called between the signal and the end.
inline int RunUntilSignal(
  const std::vector<std::pair<httplib::Server*, int>>& aServers,
  const std::function<void()>& aLeave = [] {})
{
  std::vector<std::thread> threads;
  for (const auto& [server, port] : aServers) {
    if (!server->bind_to_port("127.0.0.1", port)) {
      return 1;
    }
    threads.emplace_back([server = server] { server->listen_after_bind(); });
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
  aLeave();
  for (const auto& [server, port] : aServers) {
    server->stop();
  }
  for (std::thread& it : threads) {
    it.join();
  }
  return 0;
}

inline void BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace standins
