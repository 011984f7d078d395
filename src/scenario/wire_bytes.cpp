#include "wire_bytes.h"

#include "lycheestep/table.h"
#include "lycheestep/target_protocol.h"
#include "table_json.h"
#include "target_json.h"

namespace lycheestep {

namespace {

// Request line or status line and the headers that the HTTP library adds.
constexpr std::uint64_t kQuestionHeaders = 200;
constexpr std::uint64_t kAnswerHeaders = 110;

} // namespace

std::uint64_t QuestionBytes(const TableTransaction& aTransaction)
{
  return kQuestionHeaders + EncodeTransaction(aTransaction).size();
}

std::uint64_t QuestionBytes(const TableQuery& aQuery)
{
  return kQuestionHeaders + EncodeQuery(aQuery).size();
}

std::uint64_t QuestionBytes(const TaskStart& aStart)
{
  StartCall call;
  call.m_start = aStart;
  return kQuestionHeaders + EncodeStartCall(call).size();
}

std::uint64_t QuestionBytes(const LeaseRenewal& aRenewal)
{
  return kQuestionHeaders + EncodeRenewal(aRenewal).size();
}

std::uint64_t AnswerBytes(const TableAnswer& aAnswer)
{
  return kAnswerHeaders + EncodeTableAnswer(aAnswer).size();
}

std::uint64_t AnswerBytes(const TargetReport& aReport)
{
  return kAnswerHeaders + EncodeReport(aReport).size();
}

std::uint64_t AnswerBytes(const TaskReport& aReport)
{
  return kAnswerHeaders + EncodeTask(aReport).size();
}

std::uint64_t HostListBytes(const std::vector<TargetListing>& aTargets)
{
  return kQuestionHeaders + kAnswerHeaders + EncodeTargetList(aTargets).size();
}

} // namespace lycheestep
