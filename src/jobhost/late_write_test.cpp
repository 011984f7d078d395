// Tests of answers to callers that a write which is done late must not make
// untrue.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "event_log.h"
#include "job_request_handler.h"
#include "job_rows.h"
#include "metrics_registry.h"
#include "row_store_model.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;

// More writes than a request makes.
constexpr int kAllWrites = 100;

const JobId kJob("5c0e7a21d94b36f8");

// A host that serves callers, with the store.
class LateWrites
{
public:
  LateWrites()
    : m_log("test", m_metrics)
    , m_handler(m_store, m_log, m_metrics, QuickSettings())
  {
    m_store.SetStoreClock(seconds(100));
  }

  RowStoreModel& Store() { return m_store; }

  JobRequestStatus Submit(const std::string& aPayload = "plan")
  {
    JobSpec spec;
    spec.m_payload = aPayload;
    spec.m_steps.resize(1);
    spec.m_steps[0].m_count = 1;
    return m_handler.Submit(kJob, QueueConfig(), spec);
  }

  // Submits the job; no write gets an answer, and all are on their way.
  void SubmitWithoutAnswer()
  {
    m_store.DelayWrites(kAllWrites);
    EXPECT_EQ(Submit(), JobRequestStatus::kUnknown);
    m_store.DelayWrites(0);
  }

  JobRequestStatus Cancel() { return m_handler.Cancel(kJob); }
  JobRequestStatus StateStatus() { return m_handler.State(kJob).m_status; }

private:
  // The store of these tests answers at once, or never.
  static JobRequestSettings QuickSettings()
  {
    JobRequestSettings settings;
    settings.m_requestLimit = std::chrono::milliseconds(3);
    settings.m_retryDelay = std::chrono::milliseconds(1);
    return settings;
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  RowStoreModel m_store;
  JobRequestHandler m_handler;
};

} // namespace

// Guards against a job that runs although its caller was told that it does not
// exist, because the write of its submission was done late.
TEST(LateWrite, JobThatDoesNotExistIsNotStoredLater)
{
  LateWrites host;
  host.SubmitWithoutAnswer();
  EXPECT_EQ(host.Cancel(), JobRequestStatus::kNoSuchJob);
  host.Store().DoLateWrites();
  EXPECT_EQ(host.StateStatus(), JobRequestStatus::kNoSuchJob);
  EXPECT_EQ(host.Cancel(), JobRequestStatus::kNoSuchJob);
  // A submission that arrives again is not told that it was accepted.
  EXPECT_EQ(host.Submit(), JobRequestStatus::kNoSuchJob);
}

TEST(LateWrite, CancellationWithoutAnswerIsUnknownUntilItIsSettled)
{
  LateWrites host;
  host.Store().DelayWrites(kAllWrites);
  EXPECT_EQ(host.Cancel(), JobRequestStatus::kUnknown);
  host.Store().DelayWrites(0);
  host.Store().DoLateWrites();
  EXPECT_EQ(host.Submit(), JobRequestStatus::kNoSuchJob);
}

TEST(LateWrite, JobThatWasStoredLateIsCancelled)
{
  LateWrites host;
  host.SubmitWithoutAnswer();
  host.Store().DoLateWrites();
  EXPECT_EQ(host.Cancel(), JobRequestStatus::kOk);
  EXPECT_TRUE(host.Store().Has(CancelKey(kJob)));
}

// Guards against a cancellation that stays when its job is removed, and that
// cancels the next job with the same id.
TEST(LateWrite, CancellationIsNotStoredWithoutItsJob)
{
  LateWrites host;
  EXPECT_EQ(host.Submit(), JobRequestStatus::kOk);
  host.Store().DelayWrites(kAllWrites);
  EXPECT_EQ(host.Cancel(), JobRequestStatus::kUnknown);
  host.Store().DelayWrites(0);
  RowTransaction removal;
  removal.m_removals.push_back(JobKey(kJob));
  host.Store().Transact(removal, seconds(1));
  host.Store().DoLateWrites();
  EXPECT_FALSE(host.Store().Has(CancelKey(kJob)));
}

// Guards against a caller that is told that its job was accepted while another
// one with the same id runs.
TEST(LateWrite, SubmissionOfAnotherJobWithTheIdIsRefused)
{
  LateWrites host;
  host.SubmitWithoutAnswer();
  EXPECT_EQ(host.Submit("other plan"), JobRequestStatus::kOk);
  host.Store().DoLateWrites();
  EXPECT_EQ(host.Submit("plan"), JobRequestStatus::kOtherJob);
  EXPECT_EQ(host.Submit("other plan"), JobRequestStatus::kOk);
}

// Whatever happens in which order, a job that was said not to exist never does.
TEST(LateWrite, AnswersStayTrueInAnyOrder)
{
  const bool held = rc::check("answers stay true in any order", [] {
    LateWrites host;
    bool saidMissing = false;
    const auto moves =
      *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 3));
    for (const int move : moves) {
      host.Store().DelayWrites(*rc::gen::element(0, 1, kAllWrites));
      if (move == 0) {
        host.Submit();
      } else if (move == 1) {
        saidMissing =
          host.Cancel() == JobRequestStatus::kNoSuchJob || saidMissing;
      } else {
        host.Store().DoLateWrites();
      }
      host.Store().DelayWrites(0);
      RC_ASSERT(!saidMissing ||
                host.StateStatus() == JobRequestStatus::kNoSuchJob);
    }
  });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
