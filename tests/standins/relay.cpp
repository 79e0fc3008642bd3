/// @file
/// Stand-in for the network between daemons: passes their connections on and can cut them.
///
/// Flags: --links ID=LISTEN:TARGET,... (one for each daemon, ports on 127.0.0.1), --port N.
/// POST /cuts [["FROM","TO"],...] replaces the cuts: what FROM sends to TO is held back, in order,
/// until the cut ends, as packets on a broken path are.

#include "tests/standins/flags.h"
#include "tests/standins/http_listener.h"

#include <asio.hpp>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace {

using asio::ip::tcp;
using nlohmann::json;

struct Link
{
  std::string id;
  std::uint16_t listen = 0;
  std::uint16_t target = 0;
};

/// Which daemon can't reach which.
class Cuts
{
public:
  void Replace(std::set<std::pair<std::string, std::string>> aCuts)
  {
    const std::lock_guard lock(mMutex);
    mCuts = std::move(aCuts);
    mChanged.notify_all();
  }

  /// Returns once nothing is cut between the two.
  void WaitFor(const std::string& aFrom, const std::string& aTo)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [&] { return mCuts.count({ aFrom, aTo }) == 0; });
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<std::pair<std::string, std::string>> mCuts;
};

std::vector<Link> ReadLinks(const std::string& aText)
{
  std::vector<Link> links;
  std::istringstream buf(aText);
  std::string part;
  while (std::getline(buf, part, ',')) {
    const std::size_t equals = part.find('=');
    const std::size_t colon = part.find(':');
    links.push_back({ part.substr(0, equals),
                      static_cast<std::uint16_t>(std::stoul(part.substr(equals + 1))),
                      static_cast<std::uint16_t>(std::stoul(part.substr(colon + 1))) });
  }
  return links;
}

/// The sender's id, which stands first in each message; empty if there is none in @p aBytes.
std::string SenderIn(const std::string& aBytes, const std::vector<Link>& aLinks)
{
  std::string sender;
  std::size_t first = std::string::npos;
  for (const Link& it : aLinks) {
    const std::string field = '\x0a' + std::string(1, static_cast<char>(it.id.size())) + it.id;
    const std::size_t at = aBytes.find(field);
    if (at < first) {
      first = at;
      sender = it.id;
    }
  }
  return sender;
}

void Close(tcp::socket& aSocket)
{
  asio::error_code ec;
  aSocket.shutdown(tcp::socket::shutdown_both, ec);
}

/// Passes on what comes from one side until that side ends. @p aBefore is shown each piece first.
void Pump(tcp::socket& aFrom,
          tcp::socket& aTo,
          const std::function<void(const std::string&)>& aBefore)
{
  std::string buf(65536, '\0');
  asio::error_code ec;
  while (!ec) {
    const std::size_t n = aFrom.read_some(asio::buffer(buf), ec);
    if (n > 0) {
      aBefore(buf.substr(0, n));
      asio::write(aTo, asio::buffer(buf.data(), n), ec);
    }
  }
  Close(aFrom);
  Close(aTo);
}

/// One connection; it knows its sender from the first message on.
void Carry(tcp::socket aCaller, const Link& aLink, const std::vector<Link>& aLinks, Cuts& aCuts)
{
  asio::io_context context;
  tcp::socket target(context);
  asio::error_code ec;
  target.connect({ asio::ip::address_v4::loopback(), aLink.target }, ec);
  if (ec) {
    return;
  }
  target.set_option(tcp::no_delay(true));
  aCaller.set_option(tcp::no_delay(true));
  std::thread back([&] { Pump(target, aCaller, [](const std::string&) {}); });
  std::string sender;
  Pump(aCaller, target, [&](const std::string& aBytes) {
    if (sender.empty()) {
      sender = SenderIn(aBytes, aLinks);
    }
    aCuts.WaitFor(sender, aLink.id);
  });
  back.join();
}

void Accept(const Link& aLink, const std::vector<Link>& aLinks, Cuts& aCuts)
{
  static asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), aLink.listen });
  while (true) {
    std::thread([socket = acceptor.accept(), &aLink, &aLinks, &aCuts]() mutable {
      Carry(std::move(socket), aLink, aLinks, aCuts);
    }).detach();
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  standins::BlockSignals();
  const standins::Flags flags(aCount, aWords);
  const std::vector<Link> links = ReadLinks(flags.Text("links", ""));
  Cuts cuts;
  for (const Link& it : links) {
    std::thread([&links, &it, &cuts] { Accept(it, links, cuts); }).detach();
  }
  httplib::Server server;
  standins::Prepare(server, 4);
  server.Post("/cuts", [&](const httplib::Request& aRequest, httplib::Response&) {
    std::set<std::pair<std::string, std::string>> pairs;
    for (const json& it : json::parse(aRequest.body)) {
      pairs.emplace(it.at(0), it.at(1));
    }
    cuts.Replace(std::move(pairs));
  });
  return standins::RunUntilSignal({ { &server, static_cast<int>(flags.Number("port", 9100)) } },
                                  // The connections' threads have nothing to finish.
                                  [] { std::_Exit(0); });
}
