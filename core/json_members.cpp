#include "core/json_members.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr std::string_view kBlanks = " \t\r\n";

/// Reads a text from its start to its end.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : mText(aText)
  {
  }

  /// Skips blanks, then @p aChar if it is next; returns whether it was.
  bool Skip(char aChar)
  {
    SkipBlanks();
    const bool found = mAt < mText.size() && mText[mAt] == aChar;
    mAt += found ? 1 : 0;
    return found;
  }

  bool AtEnd()
  {
    SkipBlanks();
    return mAt == mText.size();
  }

  /// Reads a string with its quotes; empty if there is none.
  std::string_view String()
  {
    SkipBlanks();
    const std::size_t start = mAt;
    if (mAt == mText.size() || mText[mAt] != '"' || !SkipString()) {
      return {};
    }
    return mText.substr(start, mAt - start);
  }

  /// Reads a value, up to the comma or bracket behind it; empty if there is none.
  std::string_view Value()
  {
    SkipBlanks();
    const std::size_t start = mAt;
    std::size_t open = 0;
    while (mAt < mText.size()) {
      const char c = mText[mAt];
      if (c == '"') {
        if (!SkipString()) {
          return {};
        }
        continue;
      }
      const bool closes = c == ']' || c == '}';
      if (open == 0 && (closes || c == ',')) {
        break;
      }
      open += c == '[' || c == '{' ? 1 : 0;
      open -= closes ? 1 : 0;
      ++mAt;
    }
    if (open != 0) {
      return {};
    }
    const std::string_view value = mText.substr(start, mAt - start);
    return value.substr(0, value.find_last_not_of(kBlanks) + 1);
  }

private:
  void SkipBlanks() { mAt = std::min(mText.find_first_not_of(kBlanks, mAt), mText.size()); }

  /// Skips the string that starts here; returns whether it has an end.
  bool SkipString()
  {
    for (++mAt; mAt < mText.size(); ++mAt) {
      if (mText[mAt] == '\\') {
        ++mAt;
      } else if (mText[mAt] == '"') {
        ++mAt;
        return true;
      }
    }
    mAt = mText.size();
    return false;
  }

  std::string_view mText;
  std::size_t mAt = 0;
};

} // namespace

std::optional<std::vector<JsonMember>> SplitObject(std::string_view aText)
{
  Scanner scanner(aText);
  std::vector<JsonMember> members;
  if (!scanner.Skip('{')) {
    return std::nullopt;
  }
  bool more = !scanner.Skip('}');
  while (more) {
    const std::string_view name = scanner.String();
    const std::string_view value = scanner.Skip(':') ? scanner.Value() : std::string_view();
    if (name.empty() || value.empty()) {
      return std::nullopt;
    }
    members.push_back({ name.substr(1, name.size() - 2), value });
    more = scanner.Skip(',');
    if (!more && !scanner.Skip('}')) {
      return std::nullopt;
    }
  }
  return scanner.AtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> SplitArray(std::string_view aText)
{
  Scanner scanner(aText);
  std::vector<std::string_view> values;
  if (!scanner.Skip('[')) {
    return std::nullopt;
  }
  bool more = !scanner.Skip(']');
  while (more) {
    values.push_back(scanner.Value());
    if (values.back().empty()) {
      return std::nullopt;
    }
    more = scanner.Skip(',');
    if (!more && !scanner.Skip(']')) {
      return std::nullopt;
    }
  }
  return scanner.AtEnd() ? std::optional(std::move(values)) : std::nullopt;
}

std::string_view ValueOf(const std::vector<JsonMember>& aMembers, std::string_view aName)
{
  const auto it = std::find_if(aMembers.begin(), aMembers.end(), [&](const JsonMember& aMember) {
    return aMember.name == aName;
  });
  return it == aMembers.end() ? std::string_view() : it->value;
}

} // namespace hawthornlug
