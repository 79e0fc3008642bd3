/// @file
/// Backend servers for tests that do what a script says with each request, and note what they saw.
#pragma once

#include "http/message_reader.h"
#include "tests/support/told_ledger.h"

#include <asio.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornlug::test {

/// What happens to a connection after an answer.
enum class After
{
  kKeep,
  kEnd,
  kReset,
};

/// When a server deals with a request.
enum class Moment
{
  kWhole,  ///< Once it has arrived in full.
  kHeader, ///< Once its header has arrived.
};

/// What a server does with one request.
struct Step
{
  /// Bytes to write. ID stands for the id of the request, SELF for that of the server.
  std::string answer;
  /// Whether it begins to run the request.
  bool runs = true;
  After after = After::kKeep;
  Moment moment = Moment::kWhole;
  /// How long the answer takes, once the request has begun to run.
  std::chrono::milliseconds takes{ 0 };
};

/// What a server does with new connections.
enum class Accepting
{
  kServe,
  kReset,    ///< Resets each at once.
  kEnd,      ///< Ends each at once.
  kEndSoon,  ///< Ends each about when a client stops waiting for that.
  kEndLate,  ///< Ends each a moment after it was accepted.
  kResetIdle ///< Serves one request on each, keeps it, and resets it a moment later.
};

/// Some servers that work on one script, on a thread of their own: the daemon's thread may be held
/// up. Each request takes the next step of the script; the last step is kept for all later ones.
class ScriptedServers
{
public:
  ScriptedServers(unsigned aServers, std::vector<Step> aScript, Accepting aAccepting);
  ~ScriptedServers();
  ScriptedServers(const ScriptedServers&) = delete;
  ScriptedServers& operator=(const ScriptedServers&) = delete;

  std::string Address(unsigned aServer) const { return mAddresses.at(aServer); }
  static std::string IdOf(unsigned aServer) { return "server-" + std::to_string(aServer); }
  /// Bytes that arrived, over all connections.
  std::size_t Bytes() const;
  std::size_t Accepted() const;
  /// Requests that arrived, as far as the script deals with them.
  std::size_t Arrived() const;
  unsigned Runs(const std::string& aId) const;
  std::vector<std::string> Falsehoods() const;
  void NoteOnce(const std::string& aId);
  void NoteStatus(const std::string& aId, int aStatus);
  std::size_t Promises() const;
  /// Ends all connections, and listens no more.
  void Stop();

private:
  struct Peer;
  using PeerPtr = std::shared_ptr<Peer>;

  void Accept(unsigned aServer);
  void Read(const PeerPtr& aPeer);
  void OnBytes(const PeerPtr& aPeer, std::size_t aBytes);
  void Begin(const PeerPtr& aPeer, const http::Request& aRequest);
  void Answer(const PeerPtr& aPeer, const Step& aStep, const std::string& aId);
  void EndLater(const PeerPtr& aPeer, After aAfter);
  static void EndNow(Peer& aPeer, After aAfter);
  Step NextStep();

  asio::io_context mContext;
  std::deque<asio::ip::tcp::acceptor> mAcceptors;
  std::vector<std::string> mAddresses;
  std::deque<Step> mScript;
  Accepting mAccepting;
  std::vector<std::weak_ptr<Peer>> mPeers;
  mutable std::mutex mLock;
  ToldLedger mLedger;
  std::size_t mBytes = 0;
  std::size_t mAccepted = 0;
  std::size_t mArrived = 0;
  std::thread mThread;
};

} // namespace hawthornlug::test
