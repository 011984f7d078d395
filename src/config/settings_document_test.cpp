#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "lycheestep/document.h"
#include "lycheestep/process_settings.h"

namespace lycheestep {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using testing::HasSubstr;
using testing::UnorderedElementsAre;

json ValidDocument()
{
  return json::parse(R"({
    "entry": "sg-1",
    "data_centre": "Sài Gòn",
    "operator_token": "a-token-of-the-operators",
    "platform": { "url": "http://127.0.0.1:9000" }
  })");
}

std::vector<std::string> ProblemsOf(const json& aDocument)
{
  const SettingsDocument read = ReadSettings(aDocument.dump(), "f");
  std::vector<std::string> lines;
  for (const DocumentProblem& problem : read.m_problems) {
    lines.push_back(problem.Describe());
  }
  EXPECT_EQ(read.m_settings == nullptr, !lines.empty());
  return lines;
}

TEST(SettingsDocument, KeepsDefaultsForMissingKeys)
{
  const SettingsDocument read = ReadSettings(ValidDocument().dump(), "f");
  ASSERT_NE(read.m_settings, nullptr);
  const ProcessSettings defaults;
  EXPECT_EQ(read.m_settings->m_scheduler.m_entry, EntryId("sg-1"));
  EXPECT_EQ(read.m_settings->m_scheduler.m_dataCentre,
            DataCentreName("Sài Gòn"));
  EXPECT_EQ(read.m_settings->m_httpPort, defaults.m_httpPort);
  EXPECT_EQ(read.m_settings->m_scheduler.m_leaseTerm,
            defaults.m_scheduler.m_leaseTerm);
}

TEST(SettingsDocument, ReadsEverySection)
{
  json document = ValidDocument();
  document["event_queue_limit"] = 77;
  document["http"] = { { "host", "10.1.2.3" },
                       { "port", 9999 },
                       { "threads", 3 },
                       { "caller_limit", 44 },
                       { "body_limit", "64KiB" } };
  document["platform"]["timeout"] = "250ms";
  document["platform"]["threads"] = 5;
  document["targets"] = { { "timeout", "3s" }, { "threads", 6 } };
  document["log"] = { { "level", "warn" }, { "json", true } };
  const json member = { { "id", "sg-2" },
                        { "data_centre", "Sài Gòn" },
                        { "address", "tcp://10.1.2.4:7001" } };
  document["peers"] = { { "address", "tcp://10.1.2.3:7001" },
                        { "key", "a-key-of-the-entry-hosts" },
                        { "frame_limit", "2MiB" },
                        { "frame_rate", 50 },
                        { "members", json::array({ member }) } };
  const SettingsDocument read = ReadSettings(document.dump(), "f");
  ASSERT_NE(read.m_settings, nullptr);
  const ProcessSettings& settings = *read.m_settings;
  EXPECT_EQ(settings.m_eventQueueLimit, 77U);
  EXPECT_EQ(settings.m_httpHost, "10.1.2.3");
  EXPECT_EQ(settings.m_httpPort, 9999);
  EXPECT_EQ(settings.m_httpThreads, 3U);
  EXPECT_EQ(settings.m_callerLimit, 44U);
  EXPECT_EQ(settings.m_bodyLimit, 65536U);
  EXPECT_EQ(settings.m_platformTimeout, Duration(milliseconds(250)));
  EXPECT_EQ(settings.m_platformThreads, 5U);
  EXPECT_EQ(settings.m_targetTimeout, Duration(milliseconds(3000)));
  EXPECT_EQ(settings.m_targetThreads, 6U);
  EXPECT_EQ(settings.m_logLevel, "warn");
  EXPECT_TRUE(settings.m_logJson);
  EXPECT_EQ(settings.m_scheduler.m_peerAddress, "tcp://10.1.2.3:7001");
  EXPECT_EQ(settings.m_peerFrameLimit, 2U << 20U);
  EXPECT_EQ(settings.m_peerFrameRate, 50U);
  ASSERT_EQ(settings.m_scheduler.m_peers.size(), 1U);
  EXPECT_EQ(settings.m_scheduler.m_peers[0].m_id, EntryId("sg-2"));
}

TEST(SettingsDocument, ReadsEveryKeyOfTheScheduler)
{
  const json values = { { "seed", 2 },
                        { "main_term", "20s" },
                        { "reserve_term", "20min" },
                        { "term_margin", "1s" },
                        { "session_period", "4s" },
                        { "reserve_percent", 30 },
                        { "lease_term", "120s" },
                        { "lease_period", "30s" },
                        { "lease_margin", "6s" },
                        { "host_list_period", "7s" },
                        { "catalogue_period", "8s" },
                        { "heartbeat_period", "1s" },
                        { "peer_timeout", "9s" },
                        { "commit_delay", "3ms" },
                        { "commit_batch", 11 },
                        { "record_retention", "2h" },
                        { "queue_limit", 12 },
                        { "hop_limit", 2 },
                        { "candidate_sample", 13 },
                        { "stop_limit", "14s" } };
  json document = ValidDocument();
  document["scheduler"] = values;
  const SettingsDocument read = ReadSettings(document.dump(), "f");
  ASSERT_NE(read.m_settings, nullptr);
  const SchedulerSettings& settings = read.m_settings->m_scheduler;
  EXPECT_EQ(settings.m_seed, 2U);
  EXPECT_EQ(settings.m_mainTerm, Duration(std::chrono::seconds(20)));
  EXPECT_EQ(settings.m_reserveTerm, Duration(std::chrono::minutes(20)));
  EXPECT_EQ(settings.m_termMargin, Duration(std::chrono::seconds(1)));
  EXPECT_EQ(settings.m_sessionPeriod, Duration(std::chrono::seconds(4)));
  EXPECT_EQ(settings.m_reservePercent, 30);
  EXPECT_EQ(settings.m_leaseTerm, Duration(std::chrono::seconds(120)));
  EXPECT_EQ(settings.m_leasePeriod, Duration(std::chrono::seconds(30)));
  EXPECT_EQ(settings.m_leaseMargin, Duration(std::chrono::seconds(6)));
  EXPECT_EQ(settings.m_hostListPeriod, Duration(std::chrono::seconds(7)));
  EXPECT_EQ(settings.m_cataloguePeriod, Duration(std::chrono::seconds(8)));
  EXPECT_EQ(settings.m_heartbeatPeriod, Duration(std::chrono::seconds(1)));
  EXPECT_EQ(settings.m_peerTimeout, Duration(std::chrono::seconds(9)));
  EXPECT_EQ(settings.m_commitDelay, Duration(milliseconds(3)));
  EXPECT_EQ(settings.m_commitBatch, 11U);
  EXPECT_EQ(settings.m_recordRetention, Duration(std::chrono::hours(2)));
  EXPECT_EQ(settings.m_queueLimit, 12U);
  EXPECT_EQ(settings.m_hopLimit, 2);
  EXPECT_EQ(settings.m_candidateSample, 13U);
  EXPECT_EQ(settings.m_stopLimit, Duration(std::chrono::seconds(14)));
}

TEST(SettingsDocument, ReportsAllProblemsAndHidesSecrets)
{
  json document = ValidDocument();
  document["operator_token"] = "hunter2";
  document["http"]["port"] = 99999;
  document["http"]["body_limit"] = "12B";
  document["log"]["level"] = "loud";
  document["scheduler"]["main_term"] = "3s";
  document["scheduler"]["colour"] = 1;
  document["peers"]["members"] = json::array(
    { { { "id", "sg-1" }, { "data_centre", "x" }, { "address", "here" } } });
  EXPECT_THAT(
    ProblemsOf(document),
    UnorderedElementsAre(
      HasSubstr("f: /operator_token: (secret): must be a secret"),
      HasSubstr("f: /http/port: 99999: must be a port"),
      HasSubstr(R"(f: /http/body_limit: "12B": must be at least)"),
      HasSubstr(R"(f: /log/level: "loud": must be "debug",)"),
      HasSubstr(R"(f: /scheduler/main_term: "3s": must be longer than)"),
      HasSubstr("f: /scheduler/colour: 1: unknown key; known here: candidate"),
      HasSubstr(R"(f: /peers/members/0/id: "sg-1": must be another host)"),
      HasSubstr(R"(f: /peers/members/0/address: "here": must be a ZeroMQ)"),
      HasSubstr("f: /peers/address: (missing): must be given"),
      HasSubstr("f: /peers/key: (missing): must be given")));
}

} // namespace
} // namespace lycheestep
