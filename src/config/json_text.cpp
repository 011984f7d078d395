#include "json_text.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace lycheestep {

namespace {

using nlohmann::json;

// Maximum nesting depth of a document. Valid documents stay far below it.
constexpr int kDepthLimit = 64;
// Maximum length of a value in a problem, in bytes. Longer values are cut.
constexpr std::size_t kShownValueLimit = 120;

std::string Shorten(std::string aText)
{
  if (aText.size() <= kShownValueLimit) {
    return aText;
  }
  std::size_t end = kShownValueLimit;
  // Steps back over UTF-8 continuation bytes, so that no character is cut.
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xC0U) == 0x80U) {
    --end;
  }
  return aText.substr(0, end) + "...";
}

// Returns true if the settings keep a secret at aPointer. Problems never show
// its value.
bool IsSecret(const std::string& aPointer)
{
  return aPointer == "/operator_token" || aPointer == "/peers/key";
}

// Callback of the JSON parser that detects repeated keys and nesting deeper
// than kDepthLimit.
class ParseChecker
{
public:
  explicit ParseChecker(ProblemList& aProblems)
    : m_problems(aProblems)
  {
  }

  // Handles one event of the parser. Returns false if the parser must discard
  // the value, because it is nested too deeply.
  bool Observe(int aDepth, json::parse_event_t aEvent, const json& aParsed)
  {
    switch (aEvent) {
      case json::parse_event_t::object_start:
        m_keys.emplace_back();
        break;
      case json::parse_event_t::object_end:
        m_keys.pop_back();
        break;
      case json::parse_event_t::key:
        CheckKeyIsUnique(aParsed);
        break;
      default:
        break;
    }
    m_tooDeep = m_tooDeep || aDepth > kDepthLimit;
    return aDepth <= kDepthLimit;
  }

  bool TooDeep() const { return m_tooDeep; }

private:
  void CheckKeyIsUnique(const json& aKey)
  {
    if (!m_keys.empty() && !m_keys.back().insert(aKey).second) {
      m_problems.Add("", aKey, "must stand only once in its object");
    }
  }

  ProblemList& m_problems;
  std::vector<std::set<std::string>> m_keys;
  bool m_tooDeep = false;
};

// Returns the message of a JSON exception without its prefix, which ends with
// "] ".
std::string ParserReason(const std::string& aMessage)
{
  const std::size_t end = aMessage.find("] ");
  return end == std::string::npos ? aMessage : aMessage.substr(end + 2);
}

} // namespace

ProblemList::ProblemList(std::string aFile)
  : m_file(std::move(aFile))
{
}

void ProblemList::Add(const std::string& aPointer,
                      const json& aValue,
                      const std::string& aAllowed)
{
  const bool isSecret = IsSecret(aPointer);
  const std::string text =
    aValue.dump(-1, ' ', false, json::error_handler_t::replace);
  AddText(aPointer, isSecret ? "(secret)" : text, aAllowed);
}

void ProblemList::AddText(const std::string& aPointer,
                          const std::string& aValue,
                          const std::string& aAllowed)
{
  const bool known = std::any_of(
    m_problems.begin(), m_problems.end(), [&](const DocumentProblem& aProblem) {
      return aProblem.m_pointer == aPointer && aProblem.m_allowed == aAllowed &&
             aProblem.m_value == aValue;
    });
  if (known) {
    return;
  }
  DocumentProblem problem;
  problem.m_file = m_file;
  problem.m_pointer = aPointer;
  problem.m_value = Shorten(aValue);
  problem.m_allowed = aAllowed;
  m_problems.push_back(std::move(problem));
}

bool ProblemList::Has(const std::string& aPointer) const
{
  return std::any_of(m_problems.begin(),
                     m_problems.end(),
                     [&aPointer](const DocumentProblem& aProblem) {
                       return aProblem.m_pointer == aPointer;
                     });
}

json ParseJson(const std::string& aText, ProblemList& aProblems)
{
  ParseChecker checker(aProblems);
  const auto observe =
    [&checker](int aDepth, json::parse_event_t aEvent, json& aParsed) {
      return checker.Observe(aDepth, aEvent, aParsed);
    };
  json document;
  try {
    document = json::parse(aText, observe);
  } catch (const json::exception& error) {
    aProblems.AddText(
      "", "", "must be JSON in UTF-8: " + ParserReason(error.what()));
    return nullptr;
  }
  if (checker.TooDeep()) {
    aProblems.AddText("", "", "must not nest deeper than 64 levels");
    return nullptr;
  }
  return document;
}

std::string AppendToken(const std::string& aPointer, const std::string& aToken)
{
  std::string pointer = aPointer + '/';
  for (const char character : aToken) {
    if (character == '~') {
      pointer += "~0";
    } else if (character == '/') {
      pointer += "~1";
    } else {
      pointer += character;
    }
  }
  return pointer;
}

} // namespace lycheestep
