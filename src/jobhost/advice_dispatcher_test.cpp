#include "advice_dispatcher.h"

#include <gmock/gmock.h>

#include <chrono>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A dispatcher for this host and two others. Records the hosts that calls were
// sent to, and whether each call got a reply.
class AdviceDispatcherTest : public testing::Test
{
protected:
  AdviceDispatcherTest()
    : m_dispatcher([this](const std::string& aHost,
                          const AdviceRequest& /*aRequest*/,
                          Duration /*aTimeout*/) { m_sent.push_back(aHost); },
                   [this](const AdviceAnswer& aAnswer) {
                     m_answered.push_back(aAnswer.m_answered);
                   })
  {
    m_dispatcher.SetHosts({ "b", "c" });
  }

  void Ask(std::uint64_t aTicket, Duration aServiceTime)
  {
    AdviceRequest request;
    request.m_ticket = aTicket;
    m_dispatcher.Ask(request, aServiceTime, m_now);
  }

  void Answer(std::uint64_t aTicket)
  {
    AdviceAnswer answer;
    answer.m_ticket = aTicket;
    answer.m_answered = true;
    m_dispatcher.OnAnswer(answer, m_now);
  }

  TimePoint m_now{ seconds(100) };
  std::vector<std::string> m_sent;
  std::vector<bool> m_answered;
  AdviceDispatcher m_dispatcher;
};

} // namespace

TEST_F(AdviceDispatcherTest, CallsGoToTheHostThatIsFreeFirst)
{
  Ask(1, milliseconds(600));
  Ask(2, milliseconds(600));
  Ask(3, milliseconds(10));
  EXPECT_THAT(m_sent, testing::UnorderedElementsAre("", "b", "c"));
  const std::string quick = m_sent.back();
  m_now += milliseconds(30);
  Answer(3);
  Ask(4, milliseconds(10));
  EXPECT_EQ(m_sent.back(), quick);
}

// Guards against calls piling up at a host whose expected end of service has
// passed although the host has not replied: each of the 3 hosts gets 1 call.
TEST_F(AdviceDispatcherTest, LateHostsGetNoFurtherCall)
{
  std::uint64_t ticket = 0;
  while (m_dispatcher.CanAsk(m_now) && ticket < 100) {
    Ask(++ticket, milliseconds(10));
    m_now += milliseconds(50);
  }
  EXPECT_EQ(ticket, 3U);
}

TEST_F(AdviceDispatcherTest, LostCallIsAnsweredAndItsHostQuarantined)
{
  Ask(1, milliseconds(10));
  const std::string silent = m_sent.back();
  m_now += seconds(2);
  m_dispatcher.Tick(m_now);
  EXPECT_THAT(m_answered, testing::ElementsAre(false));
  for (std::uint64_t ticket = 2; ticket < 6; ++ticket) {
    Ask(ticket, milliseconds(10));
    EXPECT_NE(m_sent.back(), silent);
  }
}

TEST_F(AdviceDispatcherTest, LateAnswerOfALostCallIsIgnored)
{
  Ask(1, milliseconds(10));
  m_now += seconds(2);
  m_dispatcher.Tick(m_now);
  Answer(1);
  EXPECT_EQ(m_answered.size(), 1U);
}

} // namespace lycheestep
