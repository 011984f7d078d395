#ifndef LYCHEESTEP_JOB_SEGMENTS_H
#define LYCHEESTEP_JOB_SEGMENTS_H

#include <vector>

#include "job.h"
#include "segment_name.h"

namespace lycheestep {

// Returns true if the task was ever dispatched, or ended with its gang.
bool HasProgress(const JobTask& aTask);

// Returns true if a next leader has to know the task: of a job that is over
// only the runs that may be on targets, of any other job all progress.
bool MustBeStored(const Job& aJob, const JobTask& aTask);

// Returns true if a segment that is stored, or is in the commit under way, has
// the task.
bool IsInStoredSegment(const Job& aJob, const TaskName& aTask);

// Returns true if any task of the segment must be stored.
bool MustBeStored(const Job& aJob, const SegmentName& aSegment);

// Returns the segments with tasks that must be stored which are neither stored
// nor in the commit under way. While there are any, only the job's progress row
// may have these tasks.
std::vector<SegmentName> UnstoredSegments(const Job& aJob);

} // namespace lycheestep

#endif
