#include "tests/support/odd_conduct.h"

namespace hawthornlug::test {

namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;

/// Answers after the request has run, with a status that would be a promise.
void AddPromises(std::vector<OddConduct>& aConducts, int aStatus)
{
  const std::string status = std::to_string(aStatus);
  const auto add = [&](const char* aName) -> OddConduct& {
    aConducts.push_back({ .name = status + aName, .status = aStatus });
    return aConducts.back();
  };
  add("-unstated");
  add("-stated-in-interim").interimStates = true;
  add("-stated-in-trailer").trailerStates = true;
  add("-without-seal").hasSeal = false;
  add("-without-id").hasId = false;
  OddConduct& bare = add("-without-both");
  bare.hasId = false;
  bare.hasSeal = false;
}

std::vector<OddConduct> MakeConducts()
{
  std::vector<OddConduct> conducts;
  for (const int it : { 408, kMisdirected, 429, 503 }) {
    AddPromises(conducts, it);
  }
  using enum OddAction;
  const std::vector<OddConduct> others = {
    { .name = "421-of-itself", .status = kMisdirected, .namesSelf = true },
    { .name = "421-of-itself-without-seal",
      .status = kMisdirected,
      .hasSeal = false,
      .namesSelf = true },
    { .name = "200-stated", .status = kOk, .states = true },
    { .name = "500-stated", .status = 500, .states = true },
    { .name = "200-without-id", .status = kOk, .hasId = false },
    { .name = "500", .status = 500 },
    { .name = "504", .status = 504 },
    { .name = "run-and-reset", .action = kRunAndReset },
    { .name = "reset", .action = kReset },
    { .name = "reset-new", .action = kResetNew },
    { .name = "refusal-late", .action = kRefuseLate, .hasSeal = false, .states = true },
    { .name = "refusal-then-run", .action = kRefuseAndRun, .hasSeal = false, .states = true },
    { .name = "refusal-twice",
      .action = kRefuse,
      .hasSeal = false,
      .states = true,
      .copyAtOnce = true },
    { .name = "refusal-twice-without-id",
      .action = kRefuse,
      .hasId = false,
      .hasSeal = false,
      .states = true,
      .copyAtOnce = true },
    { .name = "refusal-copied-later",
      .action = kRefuse,
      .hasSeal = false,
      .states = true,
      .copyLater = true },
    { .name = "refusal-copied-later-without-id",
      .action = kRefuse,
      .hasId = false,
      .hasSeal = false,
      .states = true,
      .copyLater = true },
  };
  conducts.insert(conducts.end(), others.begin(), others.end());
  return conducts;
}

} // namespace

const std::vector<OddConduct>& OddConducts()
{
  static const std::vector<OddConduct> conducts = MakeConducts();
  return conducts;
}

std::string OddAnswer(const OddConduct& aConduct,
                      const std::string& aId,
                      const std::string& aServer)
{
  const std::string statement = "X-Hawthornlug-Not-Executed: 1\r\n";
  std::string text;
  if (aConduct.interimStates) {
    text += "HTTP/1.1 102 X\r\n" + statement + "\r\n";
  }
  text += "HTTP/1.1 " + std::to_string(aConduct.status) + " X\r\n";
  text += aConduct.hasId ? "X-Hawthornlug-Attempt-Id: " + aId + "\r\n" : "";
  text += aConduct.hasSeal ? "X-Hawthornlug-Server-Seal: seal-" + aServer + "\r\n" : "";
  text += aConduct.namesSelf ? "X-Hawthornlug-Instance-Id: " + aServer + "\r\n" : "";
  text += aConduct.states ? statement : "";
  if (aConduct.trailerStates) {
    return text + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + statement + "\r\n";
  }
  const std::string body = aConduct.status == kOk ? "answer to " + aId : "";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace hawthornlug::test
