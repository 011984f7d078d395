#ifndef LYCHEESTEP_EXPECTATION_CHECKER_H
#define LYCHEESTEP_EXPECTATION_CHECKER_H

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "scenario.h"
#include "virtual_cell.h"

namespace lycheestep {

// What became of the requests of one kind.
struct KindTally
{
  std::size_t m_sent = 0;
  std::size_t m_done = 0;
  std::size_t m_failed = 0;
  std::size_t m_notRun = 0;
  // Asked about until the end and still not known.
  std::size_t m_unknown = 0;
  std::size_t m_pending = 0;
  // The connection broke, or nobody ever took it.
  std::size_t m_noAnswer = 0;
  std::size_t m_cancelled = 0;
  // From the caller's call to the first start, in order of size.
  std::vector<Duration> m_waits;
};

// Compares a cell after its run with what the scenario expects.
class ExpectationChecker
{
public:
  explicit ExpectationChecker(const VirtualCell& aCell);

  // Empty when it holds, else what was seen instead.
  std::string Check(const Expectation& aExpectation) const;

  // A few lines about each kind, the table and the hosts.
  void Summarize(std::ostream& aStream) const;

private:
  void CollectPeakUse();
  std::string CheckAll(const Expectation& aExpectation) const;
  std::string CheckWait(const Expectation& aExpectation) const;
  std::string CheckShare(const Expectation& aExpectation) const;
  std::string CheckRunning(const Expectation& aExpectation) const;
  std::string CheckOperator(const Expectation& aExpectation) const;
  bool TookEffect(const std::string& aOperator) const;
  const OperatorCall* LastCallOf(const std::string& aOperator) const;
  const KindTally& TallyOf(const std::string& aKind) const;

  const VirtualCell& m_cell;
  std::map<KindName, KindTally> m_tallies;
  // Greatest share of all targets' dominant resource given out at once.
  double m_peakUse = 0.0;
};

} // namespace lycheestep

#endif
