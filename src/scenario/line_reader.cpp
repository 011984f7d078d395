#include "line_reader.h"

#include <array>
#include <cctype>
#include <sstream>

namespace lycheestep {

namespace {

struct TimeUnit
{
  const char* m_name;
  std::int64_t m_nanoseconds;
};

// Longer names first, since "min" and "ms" end as "m..." and "s" do.
constexpr std::array<TimeUnit, 5> kTimeUnits{ { { "min", 60000000000 },
                                                { "ms", 1000000 },
                                                { "us", 1000 },
                                                { "s", 1000000000 },
                                                { "h", 3600000000000 } } };

// Reads "12.345" as thousandths. Returns false when it is no such number.
bool ReadThousandths(const std::string& aText, std::int64_t& aValue)
{
  constexpr std::size_t kMostDigits = 12;
  if (aText.empty() || aText.size() > kMostDigits ||
      std::isdigit(static_cast<unsigned char>(aText[0])) == 0) {
    return false;
  }
  std::int64_t value = 0;
  int decimals = -1;
  for (const char letter : aText) {
    if (letter == '.' && decimals < 0) {
      decimals = 0;
      continue;
    }
    if (std::isdigit(static_cast<unsigned char>(letter)) == 0 ||
        decimals == 3) {
      return false;
    }
    value = value * 10 + (letter - '0');
    decimals += decimals >= 0 ? 1 : 0;
  }
  for (int i = decimals < 0 ? 0 : decimals; i < 3; ++i) {
    value *= 10;
  }
  aValue = value;
  return true;
}

bool EndsWith(const std::string& aText, const std::string& aEnd)
{
  return aText.size() > aEnd.size() &&
         aText.compare(aText.size() - aEnd.size(), aEnd.size(), aEnd) == 0;
}

std::vector<std::string> SplitWords(const std::string& aText)
{
  std::vector<std::string> words;
  std::istringstream stream(aText);
  std::string word;
  while (stream >> word) {
    const bool comma = word.size() > 1 && word.back() == ',';
    words.push_back(comma ? word.substr(0, word.size() - 1) : word);
    if (comma) {
      words.emplace_back(",");
    }
  }
  return words;
}

} // namespace

LineReader::LineReader(const std::string& aLine)
  : m_words(SplitWords(aLine))
{
}

bool LineReader::Try(const std::string& aWords)
{
  if (Failed()) {
    return false;
  }
  const std::vector<std::string> wanted = SplitWords(aWords);
  if (m_words.size() - m_next < wanted.size()) {
    return false;
  }
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    if (m_words[m_next + i] != wanted[i]) {
      return false;
    }
  }
  m_next += wanted.size();
  return true;
}

void LineReader::Expect(const std::string& aWords)
{
  if (!Try(aWords)) {
    Fail("\"" + aWords + "\"");
  }
}

std::string LineReader::Name(const std::string& aWhat)
{
  if (AtEnd() || Peek() == ",") {
    Fail(aWhat);
  }
  return Failed() ? std::string() : m_words[m_next++];
}

Duration LineReader::Time()
{
  for (const TimeUnit& unit : kTimeUnits) {
    const std::string word = Peek();
    std::int64_t thousandths = 0;
    if (EndsWith(word, unit.m_name) &&
        ReadThousandths(
          word.substr(0, word.size() - std::string(unit.m_name).size()),
          thousandths)) {
      ++m_next;
      return std::chrono::nanoseconds(thousandths * unit.m_nanoseconds / 1000);
    }
  }
  Fail("a time such as 20s, 300ms or 2min");
  return Duration::zero();
}

std::int64_t LineReader::Number()
{
  std::int64_t thousandths = 0;
  if (!ReadThousandths(Peek(), thousandths) || thousandths % 1000 != 0) {
    Fail("a whole number");
    return 0;
  }
  ++m_next;
  return thousandths / 1000;
}

std::int64_t LineReader::Thousandths()
{
  std::int64_t thousandths = 0;
  if (!ReadThousandths(Peek(), thousandths)) {
    Fail("a number such as 4 or 0.5");
    return 0;
  }
  ++m_next;
  return thousandths;
}

std::int64_t LineReader::Percent()
{
  return ThousandthsBefore("%", "a percentage such as 30%") / 10;
}

std::int64_t LineReader::Memory()
{
  constexpr std::int64_t kMibPerGib = 1024;
  const bool large = EndsWith(Peek(), "GB");
  const std::int64_t amount =
    ThousandthsBefore(large ? "GB" : "MB", "memory such as 130GB or 256MB");
  return (large ? amount * kMibPerGib : amount) / 1000;
}

std::int64_t LineReader::Factor()
{
  return ThousandthsBefore("x", "a factor such as 50x") / 1000;
}

std::int64_t LineReader::ThousandthsBefore(const std::string& aUnit,
                                           const std::string& aExpected)
{
  const std::string word = Peek();
  std::int64_t thousandths = 0;
  if (!EndsWith(word, aUnit) ||
      !ReadThousandths(word.substr(0, word.size() - aUnit.size()),
                       thousandths)) {
    Fail(aExpected);
    return 0;
  }
  ++m_next;
  return thousandths;
}

void LineReader::End()
{
  if (!AtEnd()) {
    Fail("the end of the line");
  }
}

void LineReader::Fail(const std::string& aExpected)
{
  if (!Failed()) {
    m_error = "expected " + aExpected + ", found " +
              (AtEnd() ? "the end of the line" : "\"" + Peek() + "\"");
  }
}

void LineReader::RejectLast(const std::string& aExpected)
{
  if (!Failed() && m_next > 0) {
    m_error =
      "expected " + aExpected + ", found \"" + m_words[m_next - 1] + "\"";
  }
}

std::string LineReader::Peek() const
{
  return Failed() || AtEnd() ? std::string() : m_words[m_next];
}

} // namespace lycheestep
