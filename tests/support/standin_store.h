/// @file
/// Stand-in for the platform's object store: lists by pages, watches, conditional writes. It
/// decodes request targets as servers do, and lists any bytes that a test puts into it.
#pragma once

#include "core/store_revision.h"
#include "http/server.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hawthornlug::test {

using Json = nlohmann::json;

/// The platform's object store. All its answers state its era, which rises when it is restored.
class StandInStore : public http::Handler
{
public:
  StandInStore(asio::io_context& aContext, const std::string& aAddress);

  void Put(const std::string& aKind, const std::string& aName, const Json& aSpec);
  /// Puts an object that is listed with this text. @p aName gives only its place in the list.
  void PutText(const std::string& aKind, const std::string& aName, std::string aText);
  void Remove(const std::string& aKind, const std::string& aName);
  /// The store answers 503 from now on, to all.
  void SetDown(bool aDown);
  bool IsDown() const { return mDown; }
  /// What the store has at some moment.
  struct Copy;
  std::shared_ptr<const Copy> MakeCopy() const;
  /// The store is as it was when the copy was made, in a new era: what was written since is gone,
  /// and its revisions are given out again.
  void RestoreFrom(const Copy& aCopy);
  /// The store is restored, with what it has, once it has answered so many pages of lists.
  void RestoreAfterPages(unsigned aPages) { mRestoreAfterPages = aPages; }
  /// Answers state this text for the era, or nothing if it is empty, until the next call.
  void SetEraText(std::optional<std::string> aText) { mEraText = std::move(aText); }
  /// Sets how many objects one page of a list has at most.
  void SetPageSize(std::size_t aObjects) { mPageSize = aObjects; }
  /// From now on every page of a list starts with the first object, whatever is asked for.
  void SetRepeating(bool aRepeating) { mRepeating = aRepeating; }
  /// The revision of the last change.
  StoreRevision Revision() const { return StoreRevision(mRevision, mEra); }
  /// Number of pages of lists of a kind that were asked for.
  unsigned PagesAsked(const std::string& aKind) { return mPagesAsked[aKind]; }
  /// The content of an object; nullptr if there is none.
  const Json* Find(const std::string& aKind, const std::string& aName) const;

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override;
  void OnBadRequest(int, http::ReadState) override {}

private:
  struct Object
  {
    Json spec;
    /// As it is listed.
    std::string text;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  struct Watcher
  {
    std::shared_ptr<http::Exchange> exchange;
    std::string kind;
    std::uint64_t since = 0;
    std::shared_ptr<asio::steady_timer> timer;
  };

  /// Answers a call, with the era.
  void Answer(http::Exchange& aExchange, int aStatus, std::string aBody) const;
  void Write(const std::shared_ptr<http::Exchange>& aExchange,
             const std::string& aKind,
             const std::string& aName);
  void List(const std::shared_ptr<http::Exchange>& aExchange,
            const std::string& aKind,
            const std::string& aAfter);
  void Watch(const std::shared_ptr<http::Exchange>& aExchange,
             const std::string& aKind,
             std::uint64_t aSince,
             std::chrono::milliseconds aWait);
  void Changed();
  /// The answer to a watch, without any event if nothing has changed.
  std::string ChangesSince(const std::string& aKind, std::uint64_t aSince) const;
  bool HasChanged(const std::string& aKind, std::uint64_t aSince) const;

  asio::io_context& mContext;
  std::unique_ptr<http::Server> mServer;
  std::map<std::string, std::map<std::string, Object>> mObjects;
  std::list<Watcher> mWatchers;
  std::map<std::string, unsigned> mPagesAsked;
  std::size_t mPageSize = 500;
  std::uint64_t mRevision = 1;
  std::uint64_t mEra = 1;
  /// Pages that are still to be answered before the store is restored; 0 for no restore.
  unsigned mRestoreAfterPages = 0;
  /// What answers state instead of the era.
  std::optional<std::string> mEraText;
  bool mDown = false;
  bool mRepeating = false;
};

struct StandInStore::Copy
{
  std::map<std::string, std::map<std::string, Object>> objects;
  std::uint64_t revision = 0;
};

} // namespace hawthornlug::test
