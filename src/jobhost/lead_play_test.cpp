// Plays hosts that take the lead from each other on virtual time, with the
// writers and elections of the product and a store that answers late, loses
// answers, does writes late, refuses them or does not tell its clock.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "boot_clock.h"
#include "event_log.h"
#include "job_rows.h"
#include "metrics_registry.h"
#include "played_process.h"
#include "row_store_model.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kClockStart = seconds(1000);

std::atomic<Duration::rep> clockNow{ kClockStart.count() };

} // namespace

// Take the place of the clocks of the product in this program.
TimePoint BootClockNow()
{
  return TimePoint(Duration(clockNow.load()));
}

WallTime WallClockNow()
{
  return WallTime(0);
}

namespace {

// A lease of kPlayedLease on a target whose clock is 2% slow.
constexpr Duration kLongestLease = milliseconds(8164);
constexpr Duration kWriteTimeout = milliseconds(900);
constexpr Duration kReadTimeout = milliseconds(600);
// The store's clock is ahead of that of the hosts.
constexpr Duration kStoreClockLead = seconds(5000);

// One time that a process led.
struct Term
{
  std::size_t m_process = 0;
  std::uint64_t m_firstToken = 0;
  std::uint64_t m_lastToken = 0;
  TimePoint m_formerLeaseExpiry;
  // When it last could send an order by its own checks.
  TimePoint m_lastOrder;
};

class LeadPlay
{
public:
  explicit LeadPlay(std::uint32_t aSeed)
    : m_log("test", m_metrics)
    , m_random(aSeed)
  {
    // Two processes have one name, as if one had been replaced and lived on.
    const std::vector<std::string> names = { "a", "a", "b", "c" };
    std::vector<ElectionHost> hosts;
    for (std::size_t i = 0; i < names.size(); ++i) {
      m_processes.push_back(
        std::make_unique<PlayedProcess>(names[i], i + 1, m_log, m_metrics));
      hosts.push_back(ElectionHost{ names[i], 0.5 });
    }
    for (const auto& process : m_processes) {
      process->m_election.SetHosts(hosts);
      process->m_election.Begin(BootClockNow(), Between(0, 300));
    }
  }

  // Plays aTime. Returns the first case of a lease that lasts for longer than
  // the next leader takes it to, or of a fencing token that does not rise.
  std::string Play(Duration aTime)
  {
    const TimePoint end = BootClockNow() + aTime;
    while (BootClockNow() < end && m_failure.empty()) {
      clockNow += Between(20, 120).count();
      for (std::size_t i = 0; i < m_processes.size(); ++i) {
        Advance(i);
      }
      Judge();
    }
    return m_failure;
  }

  std::size_t TermCount() const { return m_terms.size(); }

private:
  Duration Between(int aFrom, int aTo)
  {
    return milliseconds(
      std::uniform_int_distribution<int>(aFrom, aTo)(m_random));
  }

  bool Chance(int aPercent)
  {
    return std::uniform_int_distribution<int>(1, 100)(m_random) <= aPercent;
  }

  void Advance(std::size_t aIndex)
  {
    PlayedProcess& process = *m_processes[aIndex];
    const TimePoint now = BootClockNow();
    if (now >= process.m_weatherUntil) {
      process.m_weather =
        Chance(40) ? Weather::kCalm
                   : static_cast<Weather>(
                       std::uniform_int_distribution<int>(1, 4)(m_random));
      process.m_weatherUntil = now + Between(500, 5000);
    }
    AdvanceCalls(process);
    if (process.m_acquiring.valid()) {
      FinishAcquiring(aIndex);
    } else if (process.m_term) {
      Lead(process);
    } else {
      Follow(process);
    }
  }

  // Draws what becomes of a write that was just sent.
  void Plan(PlayedProcess& aProcess, PlayedCall& aCall)
  {
    const TimePoint now = BootClockNow();
    aCall.m_planned = true;
    aCall.m_sent = now;
    aCall.m_tellsClock = Chance(70);
    aCall.m_doneAt = now + Between(0, 500);
    aCall.m_answeredAt = *aCall.m_doneAt + Between(0, 390);
    if (aProcess.m_weather == Weather::kCalm || Chance(30)) {
      return;
    }
    switch (aProcess.m_weather) {
      case Weather::kCalm:
        return;
      case Weather::kLosing:
        aCall.m_lost = true;
        aCall.m_answeredAt = now + kWriteTimeout;
        return;
      case Weather::kLate:
        aCall.m_lost = true;
        aCall.m_answeredAt = now + kWriteTimeout;
        aCall.m_doneAt = now + Between(1000, 6000);
        return;
      case Weather::kRefusing:
        aCall.m_refused = true;
        aCall.m_doneAt.reset();
        aCall.m_answeredAt = now;
        return;
      case Weather::kSuspended:
        aCall.m_answeredAt = *aCall.m_doneAt + Between(1000, 6000);
        return;
    }
  }

  void AdvanceCalls(PlayedProcess& aProcess)
  {
    DoLateWrites();
    bool answered = false;
    bool retries = false;
    {
      const std::lock_guard<std::mutex> lock(aProcess.m_store.m_mutex);
      std::list<PlayedCall>& calls = aProcess.m_store.m_calls;
      for (auto call = calls.begin(); call != calls.end();) {
        if (!call->m_planned) {
          Plan(aProcess, *call);
        }
        AdvanceCall(*call);
        if (BootClockNow() < call->m_answeredAt) {
          ++call;
          continue;
        }
        if (call->m_doneAt) {
          m_late.emplace_back(*call->m_doneAt, call->m_transaction);
        }
        retries = call->m_lost || call->m_refused;
        answered = true;
        call->m_reply.set_value(call->m_lost || call->m_refused
                                  ? MakeUnanswered(*call)
                                  : call->m_answer);
        call = calls.erase(call);
      }
    }
    if (!answered) {
      return;
    }
    if (retries && aProcess.m_term && !aProcess.m_acquiring.valid()) {
      aProcess.m_store.WaitForCall();
    } else {
      std::this_thread::sleep_for(milliseconds(1)); // the thread reads it
    }
  }

  static RowAnswer MakeUnanswered(const PlayedCall& aCall)
  {
    RowAnswer answer;
    answer.m_status =
      aCall.m_refused ? RowStatus::kRefused : RowStatus::kUnknown;
    return answer;
  }

  // Does the write if it is due.
  void AdvanceCall(PlayedCall& aCall)
  {
    if (!aCall.m_doneAt || BootClockNow() < *aCall.m_doneAt) {
      return;
    }
    aCall.m_doneAt.reset();
    aCall.m_answer = m_rows.Transact(aCall.m_transaction, kWriteTimeout);
    if (aCall.m_tellsClock) {
      aCall.m_answer.m_storeClock = StoreClock();
    }
  }

  // Does the writes of which nobody waits for an answer any more.
  void DoLateWrites()
  {
    for (auto write = m_late.begin(); write != m_late.end();) {
      if (BootClockNow() < write->first) {
        ++write;
        continue;
      }
      m_rows.Transact(write->second, kWriteTimeout);
      write = m_late.erase(write);
    }
  }

  static Duration StoreClock()
  {
    return kStoreClockLead + BootClockNow().time_since_epoch();
  }

  void FinishAcquiring(std::size_t aIndex)
  {
    PlayedProcess& process = *m_processes[aIndex];
    if (process.m_acquiring.wait_for(seconds(0)) != std::future_status::ready) {
      return;
    }
    if (!process.m_acquiring.get()) {
      process.m_election.OnAttemptLost(BootClockNow());
      return;
    }
    Term term;
    term.m_process = aIndex;
    term.m_firstToken = process.m_token;
    term.m_lastToken = process.m_token;
    term.m_formerLeaseExpiry = process.m_claim.m_formerLeaseExpiry;
    process.m_lost = false;
    process.m_term = m_terms.size();
    process.m_nextRenewal = BootClockNow();
    m_terms.push_back(term);
  }

  void Lead(PlayedProcess& aProcess)
  {
    const TimePoint now = BootClockNow();
    Term& term = m_terms[*aProcess.m_term];
    term.m_lastToken = std::max(term.m_lastToken, aProcess.m_token.load());
    if (aProcess.m_lost) {
      StepDown(aProcess);
      return;
    }
    if (now < aProcess.m_writer.OrdersValidUntil()) {
      term.m_lastOrder = now;
    }
    if (Chance(1)) {
      aProcess.m_writer.ReleaseLeadership(milliseconds(20));
      StepDown(aProcess);
      return;
    }
    if (now >= aProcess.m_nextRenewal) {
      aProcess.m_nextRenewal = now + milliseconds(250);
      aProcess.m_writer.Commit({}, {});
    }
  }

  static void StepDown(PlayedProcess& aProcess)
  {
    aProcess.m_writer.StopWithoutRelease();
    aProcess.m_term.reset();
    aProcess.m_election.Begin(BootClockNow(), milliseconds(300));
  }

  void Follow(PlayedProcess& aProcess)
  {
    const TimePoint now = BootClockNow();
    if (aProcess.m_read) {
      if (now >= aProcess.m_readHandledAt) {
        HandleRead(aProcess);
      }
      return;
    }
    if (!aProcess.m_election.ShouldReadRow(now)) {
      return;
    }
    RowRange range;
    range.m_table = LeaderKey().m_table;
    range.m_first = LeaderKey().m_key;
    range.m_limit = 1;
    RowAnswer answer = m_rows.Read(range, kReadTimeout);
    if (Chance(90)) {
      answer.m_storeClock = StoreClock();
    }
    aProcess.m_read = DecodeLeaderRow(answer);
    aProcess.m_readSent = now - Between(0, 300);
    aProcess.m_readHandledAt = now + Between(0, 300);
    if (aProcess.m_weather == Weather::kSuspended) {
      aProcess.m_readHandledAt += Between(1000, 5000);
    }
  }

  // As JobHost::TryToLead does.
  void HandleRead(PlayedProcess& aProcess)
  {
    const TimePoint now = BootClockNow();
    LeaderRecord record = *aProcess.m_read;
    aProcess.m_read.reset();
    record.m_readAt = std::min(now, aProcess.m_readSent + kReadTimeout);
    record.m_readLatency = now - aProcess.m_readSent;
    record.m_processEnded = Chance(3);
    if (!aProcess.m_election.OnRowRead(record, now)) {
      return;
    }
    LeadClaim& claim = aProcess.m_claim;
    claim.m_version = record.m_version;
    claim.m_storeClock = record.m_storeClock;
    claim.m_clockAt = record.m_readAt;
    claim.m_formerLeaseExpiry =
      now + LeaderElection::RemainingFormerLease(record);
    aProcess.m_acquiring = std::async(std::launch::async, [&aProcess, claim] {
      return aProcess.m_writer.AcquireLeadership(claim);
    });
    aProcess.m_store.WaitForCall();
  }

  void Judge()
  {
    for (const Term& later : m_terms) {
      for (const Term& earlier : m_terms) {
        if (earlier.m_firstToken < later.m_firstToken) {
          JudgePair(earlier, later);
        }
      }
    }
  }

  void JudgePair(const Term& aEarlier, const Term& aLater)
  {
    const Duration left =
      aEarlier.m_lastOrder + kLongestLease - aLater.m_formerLeaseExpiry;
    const bool gaveLease = aEarlier.m_lastOrder != TimePoint();
    if (gaveLease && left > Duration::zero()) {
      m_failure = "a lease of process " + std::to_string(aEarlier.m_process) +
                  " lasts for " + std::to_string(ToMilliseconds(left)) +
                  " ms longer than process " +
                  std::to_string(aLater.m_process) + " takes it to";
    }
    if (aEarlier.m_lastToken >= aLater.m_firstToken) {
      m_failure = "the fencing tokens of process " +
                  std::to_string(aLater.m_process) + " do not rise";
    }
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  std::minstd_rand m_random;
  RowStoreModel m_rows;
  std::list<std::pair<TimePoint, RowTransaction>> m_late;
  std::vector<std::unique_ptr<PlayedProcess>> m_processes;
  std::vector<Term> m_terms;
  std::string m_failure;
};

// Returns the number in the environment, or the default.
int NumberOf(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text != nullptr ? std::atoi(text) : aDefault;
}

} // namespace

// Guards against work that is started again while a lease of any leader before
// still lasts. LEAD_PLAY_SEED and LEAD_PLAY_GAMES choose the games.
TEST(LeadPlay, NoLeaderTakesLeasesToBeOverWhileTheyLast)
{
  const int first = NumberOf("LEAD_PLAY_SEED", 1);
  const int games = NumberOf("LEAD_PLAY_GAMES", 4);
  std::size_t terms = 0;
  for (int seed = first; seed < first + games; ++seed) {
    LeadPlay play(static_cast<std::uint32_t>(seed));
    EXPECT_EQ(play.Play(seconds(60)), "") << "seed " << seed;
    terms += play.TermCount();
  }
  std::cout << terms << " terms" << std::endl;
  EXPECT_GT(terms, static_cast<std::size_t>(games) * 2);
}

} // namespace lycheestep
