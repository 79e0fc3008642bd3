#include "tests/support/standin_store.h"

#include "http/client.h"
#include "http/target.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hawthornlug::test {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kObjects = "/objects/";

http::Response Reply(int aStatus, std::string aBody)
{
  http::Response response;
  response.status = aStatus;
  if (!aBody.empty()) {
    response.headers.Add("Content-Type", "application/json");
  }
  response.body = std::move(aBody);
  return response;
}

/// A request target as a server reads it.
struct Target
{
  std::string kind;
  std::string name;
  std::string query;

  std::string Text(const char* aName) const { return http::QueryValue(query, aName); }
  std::uint64_t Number(const char* aName) const
  {
    return std::strtoull(Text(aName).c_str(), nullptr, 10);
  }
};

/// A fragment is no part of what a server reads; names are decoded after the path is split.
Target ReadTarget(const std::string& aTarget)
{
  const std::string whole = aTarget.substr(0, aTarget.find('#'));
  const std::size_t question = whole.find('?');
  const std::string path = whole.substr(kObjects.size(), question - kObjects.size());
  const std::size_t slash = path.find('/');
  Target target;
  target.kind = http::DecodePercent(path.substr(0, slash));
  target.name = slash == std::string::npos ? "" : http::DecodePercent(path.substr(slash + 1));
  target.query = question == std::string::npos ? "" : whole.substr(question + 1);
  return target;
}

void AppendItem(std::string& aList, const std::string& aText)
{
  aList += (aList.empty() ? "" : ",") + aText;
}

} // namespace

StandInStore::StandInStore(asio::io_context& aContext, const std::string& aAddress)
  : mContext(aContext)
  , mServer(std::make_unique<http::Server>(aContext, *http::ParseEndpoint(aAddress), *this))
{
}

void StandInStore::SetDown(bool aDown)
{
  mDown = aDown;
  if (!aDown) {
    return;
  }
  for (const Watcher& it : mWatchers) {
    it.timer->cancel();
    Answer(*it.exchange, 503, "");
  }
  mWatchers.clear();
}

std::shared_ptr<const StandInStore::Copy> StandInStore::MakeCopy() const
{
  return std::make_shared<const Copy>(Copy{ mObjects, mRevision });
}

void StandInStore::RestoreFrom(const Copy& aCopy)
{
  mObjects = aCopy.objects;
  mRevision = aCopy.revision;
  ++mEra;
}

void StandInStore::Answer(http::Exchange& aExchange, int aStatus, std::string aBody) const
{
  http::Response response = Reply(aStatus, std::move(aBody));
  const std::string era = mEraText.value_or(std::to_string(mEra));
  if (!era.empty()) {
    response.headers.Add("Store-Era", era);
  }
  aExchange.Respond(std::move(response));
}

void StandInStore::Put(const std::string& aKind, const std::string& aName, const Json& aSpec)
{
  const Json body = { { "Metadata", { { "Name", aName }, { "Revision", mRevision + 1 } } },
                      { "Spec", aSpec } };
  Object& object = mObjects[aKind][aName];
  object.spec = aSpec;
  PutText(aKind, aName, body.dump());
}

void StandInStore::PutText(const std::string& aKind, const std::string& aName, std::string aText)
{
  Object& object = mObjects[aKind][aName];
  object.text = std::move(aText);
  object.revision = ++mRevision;
  object.removed = false;
  Changed();
}

void StandInStore::Remove(const std::string& aKind, const std::string& aName)
{
  Object& object = mObjects[aKind][aName];
  object.revision = ++mRevision;
  object.removed = true;
  Changed();
}

const Json* StandInStore::Find(const std::string& aKind, const std::string& aName) const
{
  const auto kind = mObjects.find(aKind);
  if (kind == mObjects.end() || !kind->second.contains(aName)) {
    return nullptr;
  }
  const Object& object = kind->second.at(aName);
  return object.removed ? nullptr : &object.spec;
}

bool StandInStore::HasChanged(const std::string& aKind, std::uint64_t aSince) const
{
  const auto kind = mObjects.find(aKind);
  return kind != mObjects.end() &&
         std::any_of(kind->second.begin(), kind->second.end(), [&](const auto& aEntry) {
           return aEntry.second.revision > aSince;
         });
}

std::string StandInStore::ChangesSince(const std::string& aKind, std::uint64_t aSince) const
{
  std::string events;
  const auto kind = mObjects.find(aKind);
  if (kind != mObjects.end()) {
    for (const auto& [name, object] : kind->second) {
      if (object.revision > aSince) {
        AppendItem(events,
                   R"({"Object":)" + object.text + R"(,"Removed":)" +
                     (object.removed ? "true" : "false") + "}");
      }
    }
  }
  return R"({"events":[)" + events + R"(],"At":)" + std::to_string(mRevision) + "}";
}

void StandInStore::Changed()
{
  for (auto it = mWatchers.begin(); it != mWatchers.end();) {
    if (!HasChanged(it->kind, it->since)) {
      ++it;
      continue;
    }
    it->timer->cancel();
    Answer(*it->exchange, 200, ChangesSince(it->kind, it->since));
    it = mWatchers.erase(it);
  }
}

void StandInStore::Watch(const std::shared_ptr<http::Exchange>& aExchange,
                         const std::string& aKind,
                         std::uint64_t aSince,
                         milliseconds aWait)
{
  if (aSince > mRevision) {
    Answer(*aExchange, 410, "");
    return;
  }
  if (HasChanged(aKind, aSince)) {
    Answer(*aExchange, 200, ChangesSince(aKind, aSince));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(mContext, aWait);
  mWatchers.push_back({ aExchange, aKind, aSince, timer });
  timer->async_wait([this, aExchange, aKind, aSince](const asio::error_code& aError) {
    if (!aError) {
      mWatchers.remove_if([&](const Watcher& aWatcher) { return aWatcher.exchange == aExchange; });
      Answer(*aExchange, 200, ChangesSince(aKind, aSince));
    }
  });
}

void StandInStore::List(const std::shared_ptr<http::Exchange>& aExchange,
                        const std::string& aKind,
                        const std::string& aAfter)
{
  ++mPagesAsked[aKind];
  if (!mObjects.contains(aKind)) {
    Answer(*aExchange, 404, "");
    return;
  }
  const std::map<std::string, Object>& objects = mObjects[aKind];
  std::string items;
  std::size_t n = 0;
  auto it = aAfter.empty() || mRepeating ? objects.begin() : objects.upper_bound(aAfter);
  for (; it != objects.end() && n < mPageSize; ++it) {
    if (!it->second.removed) {
      AppendItem(items, it->second.text);
      ++n;
    }
  }
  const bool more =
    std::any_of(it, objects.end(), [](const auto& aEntry) { return !aEntry.second.removed; });
  const bool restores = mRestoreAfterPages > 0 && --mRestoreAfterPages == 0;
  Answer(*aExchange,
         200,
         R"({"items":[)" + items + R"(],"HasMore":)" + (more ? "true" : "false") + R"(,"At":)" +
           std::to_string(mRevision) + "}");
  if (restores) {
    ++mEra;
  }
}

void StandInStore::Write(const std::shared_ptr<http::Exchange>& aExchange,
                         const std::string& aKind,
                         const std::string& aName)
{
  const Json body = Json::parse(aExchange->Received().body);
  const bool creates = aExchange->Received().method == "POST";
  const std::string name = creates ? body.at("Metadata").at("Name").get<std::string>() : aName;
  const auto known = mObjects[aKind].find(name);
  const bool exists = known != mObjects[aKind].end() && !known->second.removed;
  if (creates ? exists : !exists) {
    Answer(*aExchange, creates ? 409 : 404, creates ? known->second.text : "");
    return;
  }
  const Json& metadata = body.at("Metadata");
  if (exists && metadata.contains("Revision") &&
      metadata.at("Revision").get<std::uint64_t>() != known->second.revision) {
    Answer(*aExchange, 409, known->second.text);
    return;
  }
  Put(aKind, name, body.at("Spec"));
  Answer(*aExchange, 200, mObjects[aKind][name].text);
}

void StandInStore::OnRequest(std::shared_ptr<http::Exchange> aExchange)
{
  const http::Request& request = aExchange->Received();
  if (mDown || !request.Path().starts_with(kObjects)) {
    Answer(*aExchange, mDown ? 503 : 404, "");
    return;
  }
  const Target target = ReadTarget(request.target);
  if (request.method != "GET") {
    Write(aExchange, target.kind, target.name);
    return;
  }
  const std::uint64_t since = target.Number("Watch");
  if (since != 0) {
    Watch(aExchange, target.kind, since, milliseconds(target.Number("WaitMs")));
    return;
  }
  List(aExchange, target.kind, target.Text("after"));
}

} // namespace hawthornlug::test
