#include "operator_service.h"

#include <gmock/gmock.h>

#include "lycheestep/scheduler_error.h"
#include "operator_json.h"

namespace lycheestep {
namespace {

using testing::HasSubstr;

TEST(OperatorJsonTest, ReadsWorkCommands)
{
  const CommandCall good =
    ReadWorkCall(OperatorVerb::kAnnounce,
                 "báo-giá",
                 R"({"operator":"lan","customer":"Trường A"})");
  EXPECT_EQ(good.m_detail, "");
  EXPECT_EQ(good.m_command.m_customer.Text(), "Trường A");
  EXPECT_NE(
    ReadWorkCall(OperatorVerb::kAnnounce, "a", R"({"operator":"x"})").m_detail,
    "");
  EXPECT_NE(ReadWorkCall(OperatorVerb::kStop, "a", "{}").m_detail, "");
  EXPECT_NE(ReadWorkCall(OperatorVerb::kStop, "a", R"({"operator":"x","by":1})")
              .m_detail,
            "");
}

TEST(OperatorJsonTest, AcceptsTheLongestCustomerNameOfTheCatalogue)
{
  std::string name;
  for (int i = 0; i < 100; ++i) {
    name += "ữ";
  }
  const CommandCall call =
    ReadWorkCall(OperatorVerb::kAnnounce,
                 "a",
                 R"({"operator":"lan","customer":")" + name + "\"}");
  EXPECT_EQ(call.m_detail, "");
  EXPECT_EQ(call.m_command.m_customer.Text(), name);
}

TEST(OperatorJsonTest, RejectsAnInvalidCatalogue)
{
  const CommandCall call = ReadApplyCall(
    R"({"operator":"x","message":"m","base_version":1,"catalogue":{"a":1}})");
  EXPECT_EQ(call.m_error, SchedulerError::kCatalogueInvalid);
  EXPECT_FALSE(call.m_problems.empty());
  EXPECT_EQ(ToHttp(call).m_status, 422);
  EXPECT_EQ(ToHttp(ReadApplyCall("{}")).m_status, 400);
}

TEST(OperatorJsonTest, ListsTheCustomersToCall)
{
  OperatorReply reply;
  reply.m_error = SchedulerError::kPromiseHeld;
  Customer customer;
  customer.m_name = CustomerName("Klubs Ābols");
  customer.m_contact = "+371 1";
  reply.m_toCall.push_back(customer);
  const HttpAnswer answer = ToHttp(reply);
  EXPECT_EQ(answer.m_status, 423);
  EXPECT_THAT(
    answer.m_body,
    HasSubstr(R"("to_call":[{"contact":"+371 1","customer":"Klubs Ābols"}])"));
}

} // namespace
} // namespace lycheestep
