#ifndef LYCHEESTEP_JOB_SPEC_H
#define LYCHEESTEP_JOB_SPEC_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A submission of several steps; given by the caller.
using JobId = Id<struct JobTag>;
// A queue to which callers submit; a route of the configuration.
using QueueName = Id<struct QueueTag>;
// A service: a pool of targets.
using ServiceName = Id<struct ServiceTag>;

// Time of day, in milliseconds since 1970.
using WallTime = std::chrono::milliseconds;

// One step of a job: tasks that are alike.
struct JobStep
{
  std::uint32_t m_count = 0;
  // What each task takes of its target.
  Resources m_demand;
  // The caller's rough estimate of one task's run time.
  Duration m_estimate = Duration::zero();
  // Earlier steps, by number, whose tasks must all be done first.
  std::vector<std::uint32_t> m_after;
  // The tasks save checkpoints and can go on from one.
  bool m_checkpointing = false;
  // All tasks have to run at the same time, under one run number.
  bool m_gang = false;
  // The tasks are slow when they run in more than one rack.
  bool m_sameRack = false;
  // A label that the target must have; empty for none.
  std::string m_requiredLabel;
  // The rack that holds the data; empty for none.
  std::string m_dataRack;
  // Most tasks of the step on one target; zero for no limit.
  std::uint32_t m_maxPerTarget = 0;
  // Several runs of one task may go on at once.
  bool m_speculative = false;
  // The tasks run until the job is cancelled.
  bool m_longRunning = false;
  // What the tasks run; tasks of one image behave alike.
  std::string m_image;
  // The tail of the response times of a long-running task has to stay below
  // this; zero for none.
  Duration m_responseTarget = Duration::zero();
  // The tasks take processor time that other tasks leave idle.
  bool m_fillsIdle = false;
  // Tasks of a long-running step that may be away at once by our own actions.
  std::uint32_t m_mayMiss = 0;
  // True when the caller set m_mayMiss.
  bool m_hasMayMiss = false;
};

// A job as its caller wrote it.
struct JobSpec
{
  // Handed to each task as it is.
  std::string m_payload;
  std::vector<JobStep> m_steps;
  // The steps run this many times at set times; zero for once, at once.
  std::uint32_t m_occurrences = 0;
  WallTime m_firstDue{ 0 };
  WallTime m_interval{ 0 };
};

} // namespace lycheestep

#endif
