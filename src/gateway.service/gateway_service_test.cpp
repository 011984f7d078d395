#include "gateway_service.h"

#include <gmock/gmock.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "answer_json.h"
#include "http_connections.h"
#include "lycheestep/control_thread.h"
#include "lycheestep/kernel.h"
#include "lycheestep/process_settings.h"
#include "request_json.h"

namespace lycheestep {
namespace {

using testing::HasSubstr;

// Answers each submitted request at once with the body of the request, and each
// query for a result with "not found".
class EchoCore : public DecisionCore
{
public:
  void Handle(const Event& aEvent,
              TimePoint /*aNow*/,
              ActionList& aActions) override
  {
    Answer answer;
    if (const auto* submitted = std::get_if<RequestSubmitted>(&aEvent)) {
      answer.m_outcome = Outcome::kDone;
      answer.m_request = submitted->m_request.m_id;
      answer.m_body = submitted->m_request.m_body;
      aActions.emplace_back(AnswerCaller{ submitted->m_ticket, answer });
    }
    if (const auto* asked = std::get_if<ResultRequested>(&aEvent)) {
      answer.m_request = asked->m_request;
      answer.m_notFound = true;
      aActions.emplace_back(AnswerCaller{ asked->m_ticket, answer });
    }
  }
  TimePoint NextWakeup() const override { return TimePoint::max(); }
  bool IsReady() const override { return true; }
};

class GatewayServiceTest : public testing::Test
{
protected:
  GatewayServiceTest()
    : m_connections(std::chrono::seconds(30))
  {
    m_settings.m_httpPort = 0;
    m_settings.m_bodyLimit = 1000;
    m_kernel.Register(
      std::make_unique<ControlThread>(std::make_unique<EchoCore>(), 64));
    m_kernel.Register(std::make_unique<GatewayService>(m_settings));
    EXPECT_FALSE(m_kernel.Start());
    const int port = m_kernel.Find<GatewayService>("gateway")->Port();
    m_address =
      NetworkAddress::ParseOrNone("127.0.0.1:" + std::to_string(port));
  }

  HttpReply Submit(const std::string& aBody)
  {
    return m_connections.Post(m_address, "/v1/requests", aBody);
  }

  ProcessSettings m_settings;
  Kernel m_kernel;
  HttpConnections m_connections;
  NetworkAddress m_address;
};

TEST_F(GatewayServiceTest, AnswersACallerWithItsOwnBody)
{
  const HttpReply reply = Submit(R"({"id":"r-1","kind":"phấn","body":"ž"})");
  EXPECT_EQ(reply.m_status, 200);
  EXPECT_THAT(reply.m_body, HasSubstr(R"("outcome":"done")"));
  EXPECT_THAT(reply.m_body, HasSubstr(R"("body":"ž")"));
  EXPECT_THAT(reply.m_body, HasSubstr(R"("id":"r-1")"));
}

TEST_F(GatewayServiceTest, RejectsInvalidCalls)
{
  EXPECT_EQ(Submit("").m_status, 400);
  EXPECT_EQ(Submit("[]").m_status, 400);
  EXPECT_EQ(Submit(R"({"kind":"a","colour":1})").m_status, 400);
  EXPECT_EQ(Submit(R"({"kind":"a","id":"a b"})").m_status, 400);
  EXPECT_EQ(Submit(R"({"kind":"a","deadline":"soon"})").m_status, 400);
  EXPECT_EQ(Submit(std::string(1001, ' ')).m_status, 413);
  EXPECT_EQ(m_connections.Get(m_address, "/v1/requests/x").m_status, 404);
  EXPECT_EQ(m_connections.Get(m_address, "/no/such").m_status, 404);
  EXPECT_EQ(m_connections.Get(m_address, "/readyz").m_status, 200);
}

// Sends every proper prefix of a valid body, and the body with each byte in
// turn replaced by 0xfe, which is invalid UTF-8. Each call must get status 400,
// and each prefix the JSON error "invalid_request".
TEST_F(GatewayServiceTest, SurvivesDamagedBodies)
{
  const std::string whole = R"({"kind":"a","body":"b","deadline":"2s"})";
  for (std::size_t i = 0; i < whole.size(); ++i) {
    const HttpReply reply = Submit(whole.substr(0, i));
    EXPECT_EQ(reply.m_status, 400);
    EXPECT_THAT(reply.m_body, HasSubstr(R"("error":"invalid_request")"));
    std::string damaged = whole;
    damaged[i] = static_cast<char>(0xfe);
    EXPECT_EQ(Submit(damaged).m_status, 400);
  }
  EXPECT_EQ(Submit(whole).m_status, 200);
}

TEST_F(GatewayServiceTest, DoesNotSendACallWhoseDeadlineHasPassed)
{
  const HttpReply late = m_connections.Post(
    m_address, "/v1/requests", R"({"kind":"a"})", Clock::now());
  EXPECT_EQ(late.m_progress, HttpProgress::kNotSent);
  EXPECT_EQ(Submit(R"({"kind":"a"})").m_status, 200);
}

TEST(RequestJsonTest, ReadsDurations)
{
  EXPECT_EQ(ReadDuration("250ms"), Duration(std::chrono::milliseconds(250)));
  EXPECT_EQ(ReadDuration("24h"), Duration(std::chrono::hours(24)));
  EXPECT_EQ(ReadDuration("2min"), Duration(std::chrono::minutes(2)));
  EXPECT_FALSE(ReadDuration("2m"));
  EXPECT_FALSE(ReadDuration("25h"));
  EXPECT_FALSE(ReadDuration("2"));
  EXPECT_FALSE(ReadDuration("-2s"));
  EXPECT_FALSE(ReadDuration("99999999999999999999s"));
}

TEST(AnswerJsonTest, GivesRefusalsAStatusAndRetryAfter)
{
  Answer answer;
  answer.m_outcome = Outcome::kNotRun;
  answer.m_error = SchedulerError::kQueueFull;
  answer.m_retryAfter = std::chrono::milliseconds(1500);
  const HttpAnswer refused = ToHttp(answer);
  EXPECT_EQ(refused.m_status, 429);
  EXPECT_EQ(refused.m_retryAfter, std::chrono::seconds(2));
  answer.m_error = {};
  answer.m_outcome = Outcome::kUnknown;
  EXPECT_EQ(ToHttp(answer).m_status, 202);
}

} // namespace
} // namespace lycheestep
