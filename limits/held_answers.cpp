#include "limits/held_answers.h"

namespace hawthornlug {

namespace {

/// All answers together get one part in this many of the process's memory. A string that grows
/// takes up to three times its size for a moment.
constexpr std::size_t kAllAnswersPart = 8;
/// One answer gets one part in this many of what all get.
constexpr std::size_t kOneAnswerPart = 4;

} // namespace

AnswerLimits AnswerLimitsFor(std::size_t aProcessBytes)
{
  AnswerLimits limits;
  limits.all = aProcessBytes / kAllAnswersPart;
  limits.one = limits.all / kOneAnswerPart;
  return limits;
}

void HeldAnswers::Update(AnswerId aAnswer, const std::string& aServer, std::size_t aBytes)
{
  Answer& answer = mAnswers[aAnswer];
  if (answer.server.empty()) {
    answer.server = aServer;
  }
  mBytes += aBytes;
  mBytes -= answer.bytes;
  answer.bytes = aBytes;
}

void HeldAnswers::Remove(AnswerId aAnswer)
{
  const auto it = mAnswers.find(aAnswer);
  if (it == mAnswers.end()) {
    return;
  }
  mBytes -= it->second.bytes;
  mAnswers.erase(it);
}

std::optional<HeldAnswers::AnswerId> HeldAnswers::ToGiveUp() const
{
  if (mBytes <= mLimit) {
    return std::nullopt;
  }
  std::map<std::string, std::size_t> bytesByServer;
  for (const auto& [id, answer] : mAnswers) {
    bytesByServer[answer.server] += answer.bytes;
  }
  const Answer* largest = nullptr;
  AnswerId found = 0;
  for (const auto& [id, answer] : mAnswers) {
    const std::size_t bytes = bytesByServer.at(answer.server);
    const std::size_t most = largest == nullptr ? 0 : bytesByServer.at(largest->server);
    if (largest == nullptr || bytes > most || (bytes == most && answer.bytes > largest->bytes)) {
      largest = &answer;
      found = id;
    }
  }
  return found;
}

} // namespace hawthornlug
