#include "coordination_cell.h"

#include <gtest/gtest.h>

#include "lycheestep/scheduler_error.h"

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// What one call of RecordKeeper answered.
struct Heard
{
  int m_calls = 0;
  RecordStatus m_status = RecordStatus::kNotSent;
  proto::RecordRow m_row;

  RecordContinuation Listen()
  {
    return
      [this](CoreContext&, RecordStatus aStatus, const proto::RecordRow* aRow) {
        ++m_calls;
        m_status = aStatus;
        if (aRow != nullptr) {
          m_row = *aRow;
        }
      };
  }
};

Request RequestOf(const std::string& aId)
{
  Request request;
  request.m_id = RequestId(aId);
  request.m_kind = KindName("restock-plan");
  request.m_body = "body of " + aId;
  return request;
}

void Accept(CoordinationCell& aCell,
            std::size_t aHost,
            const std::string& aId,
            Heard& aHeard)
{
  aCell.Enter(aHost, [&](CoreContext& aContext) {
    aCell.Host(aHost).m_records.Accept(
      aContext, RequestOf(aId), aHeard.Listen());
  });
}

void Dispatch(CoordinationCell& aCell,
              std::size_t aHost,
              const std::string& aId,
              const std::string& aAttempt,
              Heard& aHeard)
{
  proto::RecordAttempt attempt;
  attempt.set_attempt(aAttempt);
  attempt.set_target("t0");
  aCell.Enter(aHost, [&](CoreContext& aContext) {
    aCell.Host(aHost).m_records.Dispatch(
      aContext, RequestId(aId), { attempt }, aHeard.Listen());
  });
}

void Finish(CoordinationCell& aCell,
            std::size_t aHost,
            const std::string& aId,
            Heard& aHeard)
{
  aCell.Enter(aHost, [&](CoreContext& aContext) {
    aCell.Host(aHost).m_records.Finish(aContext,
                                       RequestId(aId),
                                       proto::RecordRow::DONE,
                                       {},
                                       "",
                                       "answer of " + aId,
                                       aHeard.Listen());
  });
}

proto::RecordRow RowInTable(CoordinationCell& aCell, const std::string& aId)
{
  proto::RecordRow row;
  auto found = aCell.m_table.Rows().find("record/" + aId);
  if (found != aCell.m_table.Rows().end()) {
    row.ParseFromString(found->second.m_value);
  }
  return row;
}

TEST(RecordKeeper, ARecordIsInTheTableBeforeItIsAcknowledged)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(5));
  Heard accepted;
  Accept(cell, 0, "a", accepted);
  EXPECT_EQ(accepted.m_calls, 0);
  cell.Run(milliseconds(50));
  EXPECT_EQ(accepted.m_status, RecordStatus::kDone);
  EXPECT_EQ(RowInTable(cell, "a").body(), "body of a");
}

TEST(RecordKeeper, ARepeatedIdIsAnsweredFromTheRecord)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(5));
  Heard accepted;
  Heard dispatched;
  Heard finished;
  Accept(cell, 0, "a", accepted);
  cell.Run(milliseconds(50));
  Dispatch(cell, 0, "a", "e0/1/1", dispatched);
  cell.Run(milliseconds(50));
  Finish(cell, 0, "a", finished);
  cell.Run(milliseconds(50));
  for (const std::size_t host : { 0U, 1U }) {
    Heard again;
    Accept(cell, host, "a", again);
    cell.Run(milliseconds(50));
    EXPECT_EQ(again.m_status, RecordStatus::kDuplicate);
    EXPECT_EQ(again.m_row.answer(), "answer of a");
  }
}

TEST(RecordKeeper, LostRepliesAreSettledByReadingBack)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(5));
  cell.m_faults.m_loseReplies = true;
  Heard accepted;
  Heard dispatched;
  Accept(cell, 0, "a", accepted);
  cell.Run(seconds(2));
  EXPECT_EQ(accepted.m_calls, 0);
  cell.m_faults.m_loseReplies = false;
  cell.Run(seconds(6));
  EXPECT_EQ(accepted.m_status, RecordStatus::kDone);
  cell.m_faults.m_loseReplies = true;
  Dispatch(cell, 0, "a", "e0/1/1", dispatched);
  cell.Run(seconds(2));
  cell.m_faults.m_loseReplies = false;
  cell.Run(seconds(6));
  EXPECT_EQ(dispatched.m_calls, 1);
  EXPECT_EQ(dispatched.m_status, RecordStatus::kDone);
  EXPECT_EQ(RowInTable(cell, "a").attempts_size(), 1);
}

TEST(RecordKeeper, AnOutageRefusesNewRecordsAndKeepsOldOnes)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(5));
  Heard kept;
  Accept(cell, 0, "kept", kept);
  cell.Run(milliseconds(50));
  cell.m_faults.m_down = true;
  Heard dispatched;
  Heard refused;
  Dispatch(cell, 0, "kept", "e0/1/1", dispatched);
  Accept(cell, 0, "refused", refused);
  cell.Run(seconds(20));
  EXPECT_EQ(refused.m_status, RecordStatus::kNotSent);
  EXPECT_EQ(refused.m_calls, 1);
  EXPECT_EQ(dispatched.m_calls, 0);
  cell.m_faults.m_down = false;
  cell.Run(seconds(10));
  EXPECT_EQ(dispatched.m_status, RecordStatus::kDone);
  EXPECT_EQ(cell.m_table.Rows().count("record/refused"), 0U);
}

TEST(RecordKeeper, RecordsOfADeadHostGoToExactlyOnePeer)
{
  CoordinationCell cell(3, 1);
  cell.Run(seconds(5));
  std::vector<Heard> heard(130);
  for (std::size_t i = 0; i < heard.size(); ++i) {
    Accept(cell, 0, "r" + std::to_string(i), heard[i]);
  }
  cell.Run(seconds(1));
  cell.Kill(0);
  cell.Run(seconds(40));
  const std::size_t adopted =
    cell.Host(1).m_adopted.size() + cell.Host(2).m_adopted.size();
  EXPECT_EQ(adopted, heard.size());
  for (std::size_t i = 0; i < heard.size(); ++i) {
    const std::string holder =
      RowInTable(cell, "r" + std::to_string(i)).holder();
    EXPECT_TRUE(holder == "e1" || holder == "e2");
  }
}

TEST(RecordKeeper, AHostThatWasHeldForDeadLosesWhatWasTakenOver)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(5));
  Heard accepted;
  Accept(cell, 0, "a", accepted);
  cell.Run(seconds(1));
  cell.Pause(0);
  cell.Run(seconds(40));
  ASSERT_EQ(cell.Host(1).m_adopted.size(), 1U);
  cell.Resume(0);
  Heard dispatched;
  Dispatch(cell, 0, "a", "e0/1/1", dispatched);
  cell.Run(seconds(10));
  EXPECT_EQ(dispatched.m_status, RecordStatus::kLost);
  EXPECT_EQ(cell.Host(0).m_recordsLost.size(), 1U);
  EXPECT_EQ(RowInTable(cell, "a").attempts_size(), 0);
}

TEST(RecordKeeper, ACancelAtAnotherHostStopsTheDispatch)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(5));
  Heard accepted;
  Heard cancelled;
  Heard dispatched;
  Accept(cell, 0, "a", accepted);
  cell.Run(milliseconds(50));
  cell.Enter(1, [&](CoreContext& aContext) {
    cell.Host(1).m_records.Cancel(aContext, RequestId("a"), cancelled.Listen());
  });
  cell.Run(milliseconds(50));
  EXPECT_EQ(cancelled.m_status, RecordStatus::kDone);
  Dispatch(cell, 0, "a", "e0/1/1", dispatched);
  cell.Run(milliseconds(200));
  EXPECT_EQ(dispatched.m_status, RecordStatus::kLost);
  EXPECT_TRUE(dispatched.m_row.cancelled());
}

TEST(RecordKeeper, FinishedRecordsAreRemovedAfterTheirRetention)
{
  CoordinationCell cell(1, 1);
  cell.m_base.m_recordRetention = minutes(2);
  cell.Boot(0);
  cell.Run(seconds(30));
  std::vector<Heard> heard(300);
  for (std::size_t i = 0; i < heard.size(); ++i) {
    Accept(cell, 0, "r" + std::to_string(i), heard[i]);
  }
  cell.Run(seconds(1));
  for (std::size_t i = 0; i < heard.size(); ++i) {
    Finish(cell, 0, "r" + std::to_string(i), heard[i]);
  }
  cell.Run(seconds(1));
  EXPECT_EQ(RowInTable(cell, "r7").state(), proto::RecordRow::DONE);
  cell.Run(minutes(3));
  for (const auto& [key, row] : cell.m_table.Rows()) {
    EXPECT_NE(key.substr(0, 5), "recor") << key;
    EXPECT_NE(key.substr(0, 5), "held/") << key;
  }
}

// Accepts, dispatches and finishes at a steady rate; the table writes each
// request took.
double WritesPerRequest(int aPerSecond)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(10));
  const int count = aPerSecond * 5;
  std::vector<Heard> heard(static_cast<std::size_t>(count) * 3);
  const std::uint64_t before = cell.Host(0).m_records.TransactionsSent();
  for (int i = 0; i < count + aPerSecond; ++i) {
    const auto nth = static_cast<std::size_t>(i) * 3;
    if (i < count) {
      Accept(cell, 0, "r" + std::to_string(i), heard[nth]);
    }
    const int dispatched = i - aPerSecond / 2;
    if (dispatched >= 0 && dispatched < count) {
      const auto at = static_cast<std::size_t>(dispatched) * 3 + 1;
      const std::string id = std::to_string(dispatched);
      Dispatch(cell, 0, "r" + id, "e0/1/" + id, heard[at]);
    }
    const int finished = i - aPerSecond;
    if (finished >= 0) {
      const auto at = static_cast<std::size_t>(finished) * 3 + 2;
      Finish(cell, 0, "r" + std::to_string(finished), heard[at]);
    }
    cell.Run(std::chrono::microseconds(1000000 / aPerSecond));
  }
  cell.Run(seconds(1));
  int done = 0;
  for (const Heard& one : heard) {
    done += one.m_calls == 1 && one.m_status == RecordStatus::kDone ? 1 : 0;
  }
  EXPECT_EQ(done, count * 3);
  const std::uint64_t writes =
    cell.Host(0).m_records.TransactionsSent() - before;
  return static_cast<double>(writes) / count;
}

TEST(RecordKeeper, WritesPerRequestFallWithTheIntake)
{
  const double at10 = WritesPerRequest(10);
  const double at100 = WritesPerRequest(100);
  const double at1000 = WritesPerRequest(1000);
  std::printf("writes per request: %.3f at 10/s, %.3f at 100/s, %.3f at "
              "1000/s\n",
              at10,
              at100,
              at1000);
  EXPECT_LE(at10, 3.0);
  EXPECT_LE(at100, 0.6);
  EXPECT_LE(at1000, 0.06);
}

} // namespace
} // namespace lycheestep
