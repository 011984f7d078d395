#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "api_connection.h"
#include "command_line.h"
#include "commands.h"
#include "embedded_catalogue.h"
#include "http_api_connection.h"
#include "output.h"

namespace lycheestep {
namespace {

using nlohmann::json;
using testing::_;
using testing::Field;
using testing::HasSubstr;
using testing::Return;

class MockApiConnection : public ApiConnection
{
public:
  MOCK_METHOD(ApiReply, Call, (const ApiCall&), (override));
};

ApiReply Answered(int aStatus, const json& aBody)
{
  return { Delivery::kAnswered, aStatus, aBody.dump(), "" };
}

// Runs commands against a connection that the test scripts.
class ClientCommands : public testing::Test
{
protected:
  ClientCommands()
    : m_output(m_out, m_error)
  {
    m_commandLine.m_server = "http://host";
    m_commandLine.m_operator = "Hạnh";
  }

  // Writes a catalogue next to the test and names it in the command line.
  void UseFile(const std::string& aText)
  {
    m_commandLine.m_file = testing::TempDir() + "client_commands_test.json";
    std::ofstream(m_commandLine.m_file) << aText;
  }

  ExitCode Submit() { return RunSubmitCommand(m_commandLine, m_api, m_output); }
  ExitCode Apply() { return RunApplyCommand(m_commandLine, m_api, m_output); }

  std::ostringstream m_out;
  std::ostringstream m_error;
  Output m_output;
  CommandLine m_commandLine;
  testing::StrictMock<MockApiConnection> m_api;
};

TEST_F(ClientCommands, SubmitExitsByTheOutcome)
{
  const json done = { { "outcome", "done" }, { "error", nullptr } };
  const json failed = { { "outcome", "done" }, { "error", "task_failed" } };
  const json refused = { { "outcome", "not_run" },
                         { "error", "queue_full" },
                         { "retry_after_ms", 500 } };
  const json noKind = { { "outcome", "not_run" }, { "error", "unknown_kind" } };
  const json pending = { { "outcome", "unknown" }, { "pending", true } };
  const json unknown = { { "outcome", "unknown" }, { "error", "target_lost" } };
  const ApiReply unreachable{ Delivery::kNotSent, 0, "", "refused" };
  const ApiReply lost{ Delivery::kLost, 0, "", "read" };
  m_commandLine.m_name = "stock-check";
  EXPECT_CALL(m_api, Call(_))
    .WillOnce(Return(Answered(200, done)))
    .WillOnce(Return(Answered(200, failed)))
    .WillOnce(Return(Answered(429, refused)))
    .WillOnce(Return(Answered(400, noKind)))
    .WillOnce(Return(Answered(202, pending)))
    .WillOnce(Return(Answered(202, unknown)))
    .WillOnce(Return(unreachable))
    .WillOnce(Return(lost));
  EXPECT_EQ(Submit(), ExitCode::kDone);
  EXPECT_EQ(Submit(), ExitCode::kRefused);
  EXPECT_EQ(Submit(), ExitCode::kRefused);
  EXPECT_THAT(m_error.str(), HasSubstr("queue_full; try again after 500ms"));
  EXPECT_EQ(Submit(), ExitCode::kInvalid);
  EXPECT_EQ(Submit(), ExitCode::kDone);
  EXPECT_EQ(Submit(), ExitCode::kUnknown);
  EXPECT_EQ(Submit(), ExitCode::kUnreachable);
  EXPECT_EQ(Submit(), ExitCode::kUnknown);
  EXPECT_THAT(m_error.str(), HasSubstr("run `lycheestep result "));
}

TEST_F(ClientCommands, ApplyDoesNothingWhenTheCatalogueIsInForce)
{
  UseFile(EmbeddedCatalogue());
  const json inForce = { { "version", 4 },
                         { "catalogue", json::parse(EmbeddedCatalogue()) } };
  EXPECT_CALL(m_api, Call(Field(&ApiCall::m_method, ApiMethod::kGet)))
    .WillOnce(Return(Answered(200, inForce)));
  EXPECT_EQ(Apply(), ExitCode::kDone);
  EXPECT_EQ(m_out.str(), "already in force as version 4\n");
}

TEST_F(ClientCommands, ApplyIsConditionalAndNamesWhomToCall)
{
  json changed = json::parse(EmbeddedCatalogue());
  changed["kinds"][2]["deadline"] = "2s";
  UseFile(changed.dump());
  const json inForce = { { "version", 4 },
                         { "catalogue", json::parse(EmbeddedCatalogue()) } };
  const json customer = { { "customer", "Trường" }, { "contact", "Cô Hạnh" } };
  const json held = { { "error", "promise_held" },
                      { "to_call", json::array({ customer }) } };
  EXPECT_CALL(m_api, Call(Field(&ApiCall::m_method, ApiMethod::kGet)))
    .WillOnce(Return(Answered(200, inForce)));
  ApiCall put;
  EXPECT_CALL(m_api, Call(Field(&ApiCall::m_method, ApiMethod::kPut)))
    .WillOnce(
      testing::DoAll(testing::SaveArg<0>(&put), Return(Answered(423, held))));
  EXPECT_EQ(Apply(), ExitCode::kRefused);
  EXPECT_EQ(json::parse(put.m_body).at("base_version"), 4);
  EXPECT_EQ(json::parse(put.m_body).at("operator"), "Hạnh");
  EXPECT_EQ(m_out.str(), "call first: Trường (Cô Hạnh)\n");
  EXPECT_THAT(m_error.str(), HasSubstr("lycheestep announce WORK"));
}

TEST_F(ClientCommands, ApplySendsNothingWhenTheFileIsBroken)
{
  UseFile(R"({ "cell": "x", "teams": [], "kinds": 3 })");
  EXPECT_EQ(Apply(), ExitCode::kInvalid);
  EXPECT_THAT(m_error.str(), HasSubstr("/kinds: 3: must be a list"));
}

TEST_F(ClientCommands, DiffNamesEachValue)
{
  json changed = json::parse(EmbeddedCatalogue());
  changed["kinds"][2]["deadline"] = "2s";
  changed["teams"].push_back({ { "name", "Mới" } });
  UseFile(changed.dump());
  const json inForce = { { "version", 4 },
                         { "catalogue", json::parse(EmbeddedCatalogue()) } };
  EXPECT_CALL(m_api, Call(_)).WillOnce(Return(Answered(200, inForce)));
  EXPECT_EQ(RunDiffCommand(m_commandLine, m_api, m_output), ExitCode::kDone);
  EXPECT_THAT(m_out.str(), HasSubstr("against version 4: 2 differences\n"));
  EXPECT_THAT(m_out.str(),
              HasSubstr("~ kinds/stock-check/deadline: \"1s\" -> \"2s\"\n"));
  EXPECT_THAT(m_out.str(), HasSubstr("+ teams/Mới: {"));
}

TEST_F(ClientCommands, DiffNamesWhomAChangeSlowsDown)
{
  json changed = json::parse(EmbeddedCatalogue());
  changed["kinds"][0]["class"] = "batch";
  UseFile(changed.dump());
  const json inForce = { { "version", 4 },
                         { "catalogue", json::parse(EmbeddedCatalogue()) } };
  EXPECT_CALL(m_api, Call(_)).WillOnce(Return(Answered(200, inForce)));
  EXPECT_EQ(RunDiffCommand(m_commandLine, m_api, m_output), ExitCode::kDone);
  EXPECT_THAT(m_out.str(),
              HasSubstr("slows down tender-quote, call first: Nhà phân phối"));
  EXPECT_THAT(m_out.str(), HasSubstr("call first: Phòng Giáo dục Quận 7"));
}

TEST_F(ClientCommands, WorkCommandsEncodeNames)
{
  m_commandLine.m_command = Command::kDrain;
  m_commandLine.m_name = "báo giá";
  const std::string path = "/v1/work/b%C3%A1o%20gi%C3%A1/drain";
  EXPECT_CALL(m_api, Call(Field(&ApiCall::m_path, path)))
    .WillOnce(Return(Answered(401, { { "error", "unauthorized" } })));
  EXPECT_EQ(RunWorkCommand(m_commandLine, m_api, m_output), ExitCode::kRefused);
  EXPECT_THAT(m_error.str(), HasSubstr("$LYCHEESTEP_TOKEN"));
}

TEST_F(ClientCommands, RefusesAnAnswerThatIsNoJson)
{
  EXPECT_CALL(m_api, Call(_))
    .WillOnce(Return(ApiReply{ Delivery::kAnswered, 200, "<html>", "" }));
  EXPECT_EQ(RunStatusCommand(m_commandLine, m_api, m_output),
            ExitCode::kUnreachable);
  EXPECT_THAT(m_error.str(), HasSubstr("is --server an entry host?"));
}

TEST(HttpApiConnection, TellsThatNothingWasSent)
{
  HttpApiConnection connection(
    "http://127.0.0.1:1", "", std::chrono::seconds(1));
  EXPECT_EQ(connection.Call(ApiCall()).m_delivery, Delivery::kNotSent);
}

// Guards against a URL that ends the command with an exception.
TEST(HttpApiConnection, TextThatIsNoServerIsRefused)
{
  for (const std::string& url : { std::string("http://127.0.0.1:99999999999"),
                                  std::string("http://127.0.0.1:65536"),
                                  std::string("https://127.0.0.1:1"),
                                  std::string("http://a b"),
                                  std::string(),
                                  std::string(70000, 'a') }) {
    HttpApiConnection connection(url, "", std::chrono::milliseconds(100));
    const ApiReply reply = connection.Call(ApiCall());
    EXPECT_EQ(reply.m_delivery, Delivery::kNotSent) << url.substr(0, 40);
    EXPECT_THAT(reply.m_detail, HasSubstr("http://HOST:PORT"))
      << url.substr(0, 40);
  }
}

} // namespace
} // namespace lycheestep
