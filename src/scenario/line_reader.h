#ifndef LYCHEESTEP_LINE_READER_H
#define LYCHEESTEP_LINE_READER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Reads one line of a scenario word by word. Commas are words of their own.
// The first thing that does not fit is kept as the line's error, and all
// later reads do nothing.
class LineReader
{
public:
  explicit LineReader(const std::string& aLine);

  // True and taken when the next words are these, separated by one space.
  bool Try(const std::string& aWords);
  // Takes these words.
  void Expect(const std::string& aWords);
  // Takes the next word; aWhat says what it is in errors.
  std::string Name(const std::string& aWhat);
  // "20s", "300ms", "2min", "1h", "50us".
  Duration Time();
  // "12".
  std::int64_t Number();
  // "0.5" in thousandths, rounded down.
  std::int64_t Thousandths();
  // "0.1%" in hundredths of a percent.
  std::int64_t Percent();
  // "130GB" or "256MB", in MiB.
  std::int64_t Memory();
  // "50x".
  std::int64_t Factor();
  // Nothing is left.
  void End();

  bool AtEnd() const { return m_next == m_words.size(); }
  bool Failed() const { return !m_error.empty(); }
  const std::string& Error() const { return m_error; }
  // The next word, or the one that was taken last, is not what it should be.
  void Fail(const std::string& aExpected);
  void RejectLast(const std::string& aExpected);

private:
  std::string Peek() const;
  std::int64_t ThousandthsBefore(const std::string& aUnit,
                                 const std::string& aExpected);

  std::vector<std::string> m_words;
  std::size_t m_next = 0;
  std::string m_error;
};

} // namespace lycheestep

#endif
