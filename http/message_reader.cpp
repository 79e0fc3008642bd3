#include "http/message_reader.h"

#include "http/chunk_checker.h"
#include "http/syntax.h"

#include <http_parser.h>

namespace hawthornlug::http {

namespace {

/// What on_headers_complete returns to the library if no body follows.
constexpr int kSkipBody = 1;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kNotModified = 304;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

/// Removes the first of some whole lines, and returns it without its CRLF.
std::string_view TakeLine(std::string_view& aLines)
{
  const std::size_t end = aLines.find(kLineEnd);
  const std::string_view line = aLines.substr(0, end);
  aLines.remove_prefix(end + kLineEnd.size());
  return line;
}

} // namespace

/// State of the message that is being read, and the parser of the http_parser library.
struct MessageReader::Parser
{
  http_parser parser{};
  http_parser_settings settings{};
  std::size_t maxBody = 0;
  Headers headers;
  std::string target;
  std::string body;
  /// Whether the value of the last field has begun, so that the next name starts a new field.
  bool fieldHasValue = true;
  std::string fieldName;
  std::string fieldValue;
  bool headerDone = false;
  bool complete = false;
  bool tooLarge = false;
  bool isHeadResponse = false;
  /// Set if the body is chunked.
  std::optional<ChunkChecker> chunks;

  void FlushField()
  {
    while (!fieldValue.empty() && (fieldValue.back() == ' ' || fieldValue.back() == '\t')) {
      fieldValue.pop_back();
    }
    if (!fieldName.empty()) {
      headers.Add(std::move(fieldName), std::move(fieldValue));
    }
    fieldName.clear();
    fieldValue.clear();
  }

  static Parser& From(http_parser* aParser) { return *static_cast<Parser*>(aParser->data); }

  static int OnUrl(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    From(aParser).target.append(aAt, aLength);
    return 0;
  }

  static int OnField(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    Parser& it = From(aParser);
    if (it.headerDone) {
      return 0;
    }
    if (it.fieldHasValue) {
      it.FlushField();
      it.fieldHasValue = false;
    }
    it.fieldName.append(aAt, aLength);
    return 0;
  }

  static int OnValue(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    Parser& it = From(aParser);
    if (it.headerDone) {
      return 0;
    }
    it.fieldHasValue = true;
    it.fieldValue.append(aAt, aLength);
    return 0;
  }

  static int OnHeaderDone(http_parser* aParser)
  {
    Parser& it = From(aParser);
    // From here on, fields are trailer fields after a chunked body. They are ignored.
    it.FlushField();
    it.headerDone = true;
    return it.EndsWithHeader() ? kSkipBody : 0;
  }

  /// Whether the current message is a response without a body, whatever its header states (RFC
  /// 9112, section 6.3). Valid once its first line has been parsed.
  bool EndsWithHeader() const
  {
    return isHeadResponse || (parser.type == HTTP_RESPONSE && HasNoBody(parser.status_code));
  }

  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aLength)
  {
    Parser& it = From(aParser);
    if (it.body.size() + aLength > it.maxBody) {
      it.tooLarge = true;
      return 1;
    }
    it.body.append(aAt, aLength);
    return 0;
  }

  static int OnComplete(http_parser* aParser)
  {
    From(aParser).complete = true;
    http_parser_pause(aParser, 1);
    return 0;
  }
};

MessageReader::MessageReader(Mode aMode, ReadLimits aLimits)
  : mMode(aMode)
  , mLimits(aLimits)
{
  Reset();
}

MessageReader::~MessageReader() = default;

void MessageReader::SetLimits(ReadLimits aLimits)
{
  mLimits = aLimits;
  mParser->maxBody = aLimits.bodyBytes;
}

void MessageReader::ExpectHeadResponse()
{
  mExpectsHeadResponse = true;
  mParser->isHeadResponse = true;
}

void MessageReader::Discard()
{
  mBuffer.clear();
  Reset();
}

void MessageReader::Reset()
{
  mParser = std::make_unique<Parser>();
  mParser->maxBody = mLimits.bodyBytes;
  mParser->isHeadResponse = mExpectsHeadResponse;
  http_parser_settings_init(&mParser->settings);
  mParser->settings.on_url = &Parser::OnUrl;
  mParser->settings.on_header_field = &Parser::OnField;
  mParser->settings.on_header_value = &Parser::OnValue;
  mParser->settings.on_headers_complete = &Parser::OnHeaderDone;
  mParser->settings.on_body = &Parser::OnBody;
  mParser->settings.on_message_complete = &Parser::OnComplete;
  http_parser_init(&mParser->parser, mMode == Mode::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  mParser->parser.data = mParser.get();
}

void MessageReader::Append(std::string_view aBytes)
{
  mBuffer.append(aBytes);
}

bool MessageReader::IsInMessage() const
{
  return mParser->headerDone || !mBuffer.empty();
}

bool MessageReader::HasHeader() const
{
  return mParser->headerDone;
}

bool MessageReader::ExpectsContinue() const
{
  return mParser->headerDone && !mParser->complete &&
         EqualsIgnoringCase(mParser->headers.Get("Expect"), "100-continue");
}

std::size_t MessageReader::Buffered() const
{
  return mBuffer.size();
}

std::size_t MessageReader::BufferedBytes() const
{
  const std::size_t line = mParser->chunks ? mParser->chunks->BufferedBytes() : 0;
  return mBuffer.size() + mParser->body.size() + line;
}

bool MessageReader::AreLinesWellFormed(std::string_view aHeader) const
{
  std::string_view rest = aHeader.substr(0, aHeader.size() - kLineEnd.size());
  const std::string_view firstLine = TakeLine(rest);
  if (!(mMode == Mode::kResponses ? IsStatusLine(firstLine) : IsText(firstLine))) {
    return false;
  }
  std::size_t lengthFields = 0;
  while (!rest.empty()) {
    const std::string_view line = TakeLine(rest);
    if (!IsFieldLine(line)) {
      return false;
    }
    const std::string_view name = line.substr(0, line.find(':'));
    if (EqualsIgnoringCase(name, "Content-Length") ||
        EqualsIgnoringCase(name, "Transfer-Encoding")) {
      ++lengthFields;
    }
  }
  return lengthFields <= 1;
}

bool MessageReader::IsLengthWellFormed() const
{
  const http_parser& parser = mParser->parser;
  const std::optional<std::string_view> coding = mParser->headers.Find("Transfer-Encoding");
  if (coding && !EqualsIgnoringCase(*coding, "chunked")) {
    return false;
  }
  if (mMode == Mode::kRequests) {
    return true;
  }
  // Version 1.0 has no transfer codings (RFC 9112, section 6.1).
  if (coding && parser.http_minor == 0) {
    return false;
  }
  const bool statesBody =
    coding || (parser.content_length != ULLONG_MAX && parser.content_length > 0);
  // A 304 states the length of what it does not send (RFC 9110, section 8.6).
  return !statesBody || !HasNoBody(parser.status_code) || parser.status_code == kNotModified;
}

ReadState MessageReader::ReadHeader()
{
  // Empty lines before a request are allowed (RFC 9112, section 2.2).
  while (mMode == Mode::kRequests && mBuffer.starts_with("\r\n")) {
    mBuffer.erase(0, 2);
  }
  const std::size_t end = mBuffer.find(kHeaderEnd);
  if (end == std::string::npos) {
    return mBuffer.size() > mLimits.headerBytes ? ReadState::kHeaderTooLarge
                                                : ReadState::kNeedsMore;
  }
  const std::size_t size = end + kHeaderEnd.size();
  if (size > mLimits.headerBytes) {
    return ReadState::kHeaderTooLarge;
  }
  const std::string_view header = std::string_view(mBuffer).substr(0, size);
  if (!AreLinesWellFormed(header)) {
    return ReadState::kMalformed;
  }
  const std::size_t consumed =
    http_parser_execute(&mParser->parser, &mParser->settings, header.data(), header.size());
  const http_errno error = HTTP_PARSER_ERRNO(&mParser->parser);
  if ((error != HPE_OK && error != HPE_PAUSED) || !mParser->headerDone || consumed != size) {
    return ReadState::kMalformed;
  }
  if (mParser->parser.http_major != 1) {
    return ReadState::kMalformed;
  }
  if (mParser->parser.upgrade != 0 && mParser->parser.method == HTTP_CONNECT) {
    return ReadState::kMalformed;
  }
  // No request asks to switch to another protocol (RFC 9110, section 7.8).
  if (mMode == Mode::kResponses && mParser->parser.status_code == kSwitchingProtocols) {
    return ReadState::kMalformed;
  }
  if (!IsLengthWellFormed()) {
    return ReadState::kMalformed;
  }
  if (mParser->parser.content_length != ULLONG_MAX &&
      mParser->parser.content_length > mLimits.bodyBytes && !mParser->EndsWithHeader()) {
    return ReadState::kBodyTooLarge;
  }
  mBuffer.erase(0, size);
  if (mParser->headers.Find("Transfer-Encoding") && !mParser->complete) {
    mParser->chunks.emplace(mLimits.headerBytes);
  }
  return mParser->complete ? ReadState::kComplete : ReadState::kNeedsMore;
}

ReadState MessageReader::ReadBody()
{
  if (mBuffer.empty()) {
    return ReadState::kNeedsMore;
  }
  const std::size_t consumed =
    http_parser_execute(&mParser->parser, &mParser->settings, mBuffer.data(), mBuffer.size());
  const http_errno error = HTTP_PARSER_ERRNO(&mParser->parser);
  if (mParser->tooLarge) {
    return ReadState::kBodyTooLarge;
  }
  if (error != HPE_OK && error != HPE_PAUSED) {
    return ReadState::kMalformed;
  }
  std::optional<ChunkChecker>& chunks = mParser->chunks;
  const bool sound = !chunks || (chunks->Check(std::string_view(mBuffer).substr(0, consumed)) &&
                                 chunks->IsComplete() == mParser->complete);
  if (!sound) {
    return ReadState::kMalformed;
  }
  mBuffer.erase(0, consumed);
  return mParser->complete ? ReadState::kComplete : ReadState::kNeedsMore;
}

ReadState MessageReader::Advance()
{
  if (!mParser->headerDone) {
    const ReadState state = ReadHeader();
    if (state != ReadState::kNeedsMore || !mParser->headerDone) {
      return state;
    }
  }
  return ReadBody();
}

ReadState MessageReader::Finish()
{
  if (!mParser->headerDone || mParser->complete) {
    return ReadState::kMalformed;
  }
  http_parser_execute(&mParser->parser, &mParser->settings, nullptr, 0);
  return mParser->complete ? ReadState::kComplete : ReadState::kMalformed;
}

Request MessageReader::PeekRequest() const
{
  Request request;
  request.method = http_method_str(static_cast<http_method>(mParser->parser.method));
  request.target = mParser->target;
  request.headers = mParser->headers;
  return request;
}

Request MessageReader::TakeRequest()
{
  Request request;
  request.method = http_method_str(static_cast<http_method>(mParser->parser.method));
  request.target = std::move(mParser->target);
  request.headers = std::move(mParser->headers);
  request.body = std::move(mParser->body);
  http_parser_pause(&mParser->parser, 0);
  request.keepAlive = http_should_keep_alive(&mParser->parser) != 0;
  Reset();
  return request;
}

Response MessageReader::TakeResponse()
{
  Response response;
  response.status = mParser->parser.status_code;
  response.headers = std::move(mParser->headers);
  response.body = std::move(mParser->body);
  http_parser_pause(&mParser->parser, 0);
  response.keepAlive = http_should_keep_alive(&mParser->parser) != 0;
  mExpectsHeadResponse = mExpectsHeadResponse && IsInterim(response.status);
  Reset();
  return response;
}

} // namespace hawthornlug::http
