/// @file
/// Stand-in of the platform's metadata store: objects by kind and name, conditional updates,
/// watches. It is never slow or down.
#pragma once

#include "record.hh"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {

using Json = nlohmann::json;

/// Accepts connections and serves each one on a thread of its own until Stop().
class Listener
{
public:
  using Serve = std::function<void(Socket&)>;

  Listener(const Address& aAddress, Serve aServe)
    : mSocket(Socket::Listen(aAddress))
    , mServe(std::move(aServe))
    , mThread([this] { Run(); })
  {
  }
  ~Listener() { Stop(); }

  bool IsStopping() const { return mStopping; }

  void Stop()
  {
    if (mStopping.exchange(true)) {
      return;
    }
    mThread.join();
    mSocket.Close();
    for (std::thread& it : mConnections) {
      it.join();
    }
  }

private:
  void Run()
  {
    while (!mStopping) {
      if (auto connection = mSocket.Accept(Millis(20))) {
        mConnections.emplace_back(
          [this, socket = std::move(*connection)]() mutable { mServe(socket); });
      }
    }
  }

  Socket mSocket;
  Serve mServe;
  std::atomic<bool> mStopping{ false };
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

class Store
{
public:
  Store(const Address& aAddress, Record& aRecord)
    : mRecord(aRecord)
    , mListener(aAddress, [this](Socket& aSocket) { Serve(aSocket); })
  {
  }

  /// Writes an object without a condition, as the operator and the upstreams do. Returns its
  /// revision.
  std::uint64_t Put(const std::string& aKind, const std::string& aName, const Json& aSpec)
  {
    const std::lock_guard lock(mMutex);
    Object& object = mObjects[aKind][aName];
    if (object.revision != 0 && !object.removed && object.spec == aSpec) {
      return object.revision;
    }
    mRecord.Write("store: " + aKind + "/" + aName + " = " + aSpec.dump().substr(0, 400));
    return Change(object, aSpec);
  }

  /// Writes an object whose value is @p aText, JSON text that is handed out as it was written.
  void PutText(const std::string& aKind, const std::string& aName, const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    const std::string placeholder = "text-" + aKind + "-" + aName;
    mTexts[placeholder] = aText;
    mRecord.Write("store: " + aKind + "/" + aName + " = " + aText);
    Change(mObjects[aKind][aName], placeholder);
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard lock(mMutex);
    Object& object = mObjects[aKind][aName];
    if (object.revision == 0 || object.removed) {
      return;
    }
    mRecord.Write("store: " + aKind + "/" + aName + " removed");
    object.removed = true;
    object.revision = ++mRevision;
    mChanged.notify_all();
  }

  /// The value of an object of the system; null if there is none.
  Json Find(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard lock(mMutex);
    const Object& object = mObjects[aKind][aName];
    return object.revision == 0 || object.removed ? Json() : object.spec;
  }

private:
  struct Object
  {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool removed = false;
    Json spec;
  };

  std::uint64_t Change(Object& aObject, const Json& aSpec)
  {
    aObject.revision = ++mRevision;
    if (aObject.created == 0 || aObject.removed) {
      aObject.created = aObject.revision;
    }
    aObject.removed = false;
    aObject.spec = aSpec;
    mChanged.notify_all();
    return aObject.revision;
  }

  static Json Show(const std::string& aName, const Object& aObject)
  {
    return { { "Metadata",
               { { "Name", aName },
                 { "Revision", aObject.revision },
                 { "Created", aObject.created },
                 { "Finalizers", Json::array() },
                 { "Deleting", false } } },
             { "Spec", aObject.spec },
             { "Status", nullptr } };
  }

  void Serve(Socket& aSocket)
  {
    while (!mListener.IsStopping()) {
      if (!aSocket.IsReadable(Millis(50))) {
        continue;
      }
      const auto request = aSocket.Receive(Clock::now() + std::chrono::seconds(2));
      if (!request || !aSocket.Send(Answer(*request).Serialize())) {
        return;
      }
    }
  }

  Message Answer(const Message& aRequest)
  {
    const std::string target = aRequest.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return MakeResponse(404);
    }
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string method = aRequest.Word(0);
    if (method == "GET") {
      return name.empty() ? ListOrWatch(kind, target) : GetOne(kind, name);
    }
    return method == "DELETE" ? MakeResponse(200) : Write(kind, name, aRequest);
  }

  static std::uint64_t QueryNumber(const std::string& aTarget, const char* aName)
  {
    const std::size_t at = aTarget.find(std::string(aName) + "=");
    return at == std::string::npos
             ? 0
             : std::strtoull(aTarget.c_str() + at + std::strlen(aName) + 1, nullptr, 10);
  }

  Message JsonResponse(int aStatus, const Json& aBody) const
  {
    std::string text = aBody.dump();
    for (const auto& [placeholder, value] : mTexts) {
      const std::string quoted = '"' + placeholder + '"';
      for (std::size_t at = text.find(quoted); at != std::string::npos; at = text.find(quoted)) {
        text.replace(at, quoted.size(), value);
      }
    }
    Message response = MakeResponse(aStatus, std::move(text));
    response.headers.emplace_back("Content-Type", "application/json");
    return response;
  }

  Message GetOne(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard lock(mMutex);
    const Object& object = mObjects[aKind][aName];
    return object.revision == 0 || object.removed ? MakeResponse(404)
                                                  : JsonResponse(200, Show(aName, object));
  }

  Message ListOrWatch(const std::string& aKind, const std::string& aTarget)
  {
    const std::uint64_t since = QueryNumber(aTarget, "Watch");
    std::unique_lock lock(mMutex);
    if (since == 0) {
      Json items = Json::array();
      for (const auto& [name, object] : mObjects[aKind]) {
        if (object.revision != 0 && !object.removed) {
          items.push_back(Show(name, object));
        }
      }
      return JsonResponse(200, { { "items", items }, { "HasMore", false }, { "At", mRevision } });
    }
    const auto until = Clock::now() + Millis(QueryNumber(aTarget, "WaitMs"));
    Json events = EventsSince(aKind, since);
    while (events.empty() && Clock::now() < until && !mListener.IsStopping()) {
      mChanged.wait_until(lock, std::min(until, Clock::now() + Millis(100)));
      events = EventsSince(aKind, since);
    }
    return JsonResponse(200, { { "events", events }, { "At", mRevision } });
  }

  Json EventsSince(const std::string& aKind, std::uint64_t aSince)
  {
    Json events = Json::array();
    for (const auto& [name, object] : mObjects[aKind]) {
      if (object.revision > aSince) {
        events.push_back({ { "Object", Show(name, object) }, { "Removed", object.removed } });
      }
    }
    return events;
  }

  Message Write(const std::string& aKind, const std::string& aName, const Message& aRequest)
  {
    const Json body = Json::parse(aRequest.body);
    const Json& metadata = body.at("Metadata");
    const bool creates = aRequest.Word(0) == "POST";
    const std::string name = creates ? metadata.at("Name").get<std::string>() : aName;
    const std::lock_guard lock(mMutex);
    Object& object = mObjects[aKind][name];
    const bool exists = object.revision != 0 && !object.removed;
    if (!creates && !exists) {
      return MakeResponse(404);
    }
    const bool differs = metadata.contains("Revision") &&
                         metadata.at("Revision").get<std::uint64_t>() != object.revision;
    if (exists && (creates || differs)) {
      return JsonResponse(409, Show(name, object));
    }
    if (!exists || object.spec != body.at("Spec")) {
      Change(object, body.at("Spec"));
      mRecord.Write("store: the system wrote " + aKind + "/" + name + " as revision " +
                    std::to_string(object.revision));
    }
    return JsonResponse(200, Show(name, object));
  }

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  /// The values that are handed out as text, by their placeholders.
  std::map<std::string, std::string> mTexts;
  std::uint64_t mRevision = 1;
  Listener mListener;
};

} // namespace review
