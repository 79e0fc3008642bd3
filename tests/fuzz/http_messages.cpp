/// @file
/// Fuzzes the reader of HTTP messages: however the bytes arrive, the same messages are read.
/// The first byte chooses what is read, the second how the bytes are cut.

#include "http/message_reader.h"
#include "http/target.h"
#include "tests/fuzz/fuzz.h"

#include <algorithm>

using namespace hawthornlug;
using namespace hawthornlug::http;

namespace {

constexpr ReadLimits kLimits = { 512, 1024 };
/// Between what is held: a header at its bound, a body at its bound, and one cut of bytes each.
constexpr std::size_t kMaxRead = 64;

struct Reading
{
  ReadState state = ReadState::kNeedsMore;
  std::vector<std::string> messages;

  bool operator==(const Reading&) const = default;
};

std::string TextOf(const Headers& aHeaders)
{
  std::string text;
  for (const Headers::Field& it : aHeaders.Fields()) {
    text += it.name + ": " + it.value + "\n";
  }
  return text;
}

std::string TakeText(MessageReader& aReader, MessageReader::Mode aMode)
{
  if (aMode == MessageReader::Mode::kRequests) {
    const Request it = aReader.TakeRequest();
    CHECK_ALWAYS(it.body.size() <= kLimits.bodyBytes);
    DecodePercent(it.Path());
    QueryValue(it.Query(), "a");
    return it.method + " " + it.target + "\n" + TextOf(it.headers) + it.body;
  }
  const Response it = aReader.TakeResponse();
  return std::to_string(it.status) + "\n" + TextOf(it.headers) + it.body;
}

Reading ReadAll(std::string_view aBytes, MessageReader::Mode aMode, std::size_t aCut)
{
  MessageReader reader(aMode, kLimits);
  Reading reading;
  for (std::size_t at = 0; at < aBytes.size(); at += aCut) {
    reader.Append(aBytes.substr(at, aCut));
    while ((reading.state = reader.Advance()) == ReadState::kComplete) {
      reading.messages.push_back(TakeText(reader, aMode));
    }
    if (reading.state != ReadState::kNeedsMore) {
      return reading;
    }
    CHECK_ALWAYS(reader.Buffered() <= kLimits.headerBytes + aCut + kMaxRead);
  }
  return reading;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize < 2) {
    return 0;
  }
  const auto mode =
    aData[0] % 2 == 0 ? MessageReader::Mode::kRequests : MessageReader::Mode::kResponses;
  const std::size_t cut = 1 + aData[1] % 32;
  const std::string_view bytes = TextFrom(aData + 2, aSize - 2);
  const Reading whole = ReadAll(bytes, mode, std::max<std::size_t>(bytes.size(), 1));
  const Reading pieces = ReadAll(bytes, mode, cut);
  CHECK_ALWAYS(whole == pieces);
  return 0;
}
