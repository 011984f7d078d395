#ifndef LYCHEESTEP_CANCELLATION_CHECKS_H
#define LYCHEESTEP_CANCELLATION_CHECKS_H

#include <cstddef>
#include <map>

#include "job.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// What a leader does with a notice that a job was cancelled.
enum class CancellationStep
{
  kConfirm, // tell the sender that the job is over
  kRead,    // read the row of the cancellation
  kWait,    // nothing; the sender repeats the notice
};

// Decides what a leader does with the notices of other hosts that jobs were
// cancelled. A notice cancels nothing: it only makes the leader read the row of
// the cancellation. Reads of one row overlap, as one of them may get no answer.
// Used on one thread; reads no clock and calls no store itself.
class CancellationChecks
{
public:
  // Handles a notice. aIsOver is true if the leader knows that the job is over.
  CancellationStep OnNotice(const JobId& aJob, bool aIsOver);

  // Handles the end of a read that OnNotice asked for, answered or not.
  void OnReadEnded(const JobId& aJob);

  // Returns the number of reads that have not ended.
  std::size_t Reads() const { return m_reads; }

private:
  // The number of reads of each row that have not ended, of those that have
  // any.
  std::map<JobId, std::size_t> m_readsOfRow;
  std::size_t m_reads = 0;
};

} // namespace lycheestep

#endif
