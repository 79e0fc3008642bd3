/// @file
/// What names of others come to in the logs: one line each, of bounded length.

#include "core/decision_log.h"
#include "core/event_log.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace hawthornlug;

namespace {

constexpr std::size_t kMaxLineBytes = 4096;

/// Collects what is written to a standard stream while it lives.
class Captured
{
public:
  explicit Captured(std::FILE* aStream)
    : mStream(aStream)
    , mFile(std::tmpfile())
    , mOriginal(::dup(::fileno(aStream)))
  {
    std::fflush(mStream);
    ::dup2(::fileno(mFile), ::fileno(mStream));
  }
  ~Captured()
  {
    Restore();
    std::fclose(mFile);
  }
  Captured(const Captured&) = delete;
  Captured& operator=(const Captured&) = delete;

  /// Ends the collection.
  std::string Text()
  {
    Restore();
    std::rewind(mFile);
    std::string text;
    for (int c = std::fgetc(mFile); c != EOF; c = std::fgetc(mFile)) {
      text.push_back(static_cast<char>(c));
    }
    return text;
  }

private:
  void Restore()
  {
    if (mOriginal < 0) {
      return;
    }
    std::fflush(mStream);
    ::dup2(mOriginal, ::fileno(mStream));
    ::close(mOriginal);
    mOriginal = -1;
  }

  std::FILE* mStream;
  std::FILE* mFile;
  int mOriginal;
};

const std::vector<std::string> kNames = {
  "i-1",        "i 1%s{}\"\\", "i-1\nH100 started",       "i-1\r\x1B[2J",
  "i-\xFF\xFE", "i-\xC3\xA4",  std::string("i-\0001", 4), std::string(100000, 'n'),
};

std::string DecisionLine(const std::string& aName)
{
  Captured captured(stdout);
  {
    DecisionLog log("test");
    log.Write(EventId::kObjectUnreadable, { { "object", aName }, { "reason", "odd" } });
  }
  return captured.Text();
}

std::string EventLine(const std::string& aName)
{
  Captured captured(stderr);
  EventLog log("info");
  log.Write(EventId::kConfigRefused, "object=" + aName);
  return captured.Text();
}

} // namespace

TEST_CASE("a decision about an object of any name is one line of JSON", "[core][log]")
{
  const std::string name = GENERATE(from_range(kNames));
  INFO(name.substr(0, 40));
  const std::string text = DecisionLine(name);
  CHECK(text.size() <= kMaxLineBytes);
  REQUIRE(text.find('\n') == text.size() - 1);
  const auto line = nlohmann::json::parse(text, nullptr, false);
  REQUIRE(line.is_object());
  CHECK(line["name"] == "object-unreadable");
  CHECK(line["reason"] == "odd");
}

TEST_CASE("an event about an object of any name is one line of printable text", "[core][log]")
{
  const std::string name = GENERATE(from_range(kNames));
  INFO(name.substr(0, 40));
  const std::string text = EventLine(name);
  CHECK(text.size() <= kMaxLineBytes);
  REQUIRE(text.find('\n') == text.size() - 1);
  CHECK(std::none_of(text.begin(), text.end() - 1, [](char aChar) {
    return static_cast<unsigned char>(aChar) < ' ' || aChar == '\x7F';
  }));
  // Serializing rejects what is not UTF-8.
  CHECK_NOTHROW(nlohmann::json(text).dump());
}
