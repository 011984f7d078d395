#ifndef LYCHEESTEP_WIRE_BYTES_H
#define LYCHEESTEP_WIRE_BYTES_H

#include <cstdint>
#include <vector>

namespace lycheestep {

struct LeaseRenewal;
struct TableAnswer;
struct TableQuery;
struct TableTransaction;
struct TargetListing;
struct TargetReport;
struct TaskReport;
struct TaskStart;

// The bytes of one HTTP question, with its headers.
std::uint64_t QuestionBytes(const TableTransaction& aTransaction);
std::uint64_t QuestionBytes(const TableQuery& aQuery);
std::uint64_t QuestionBytes(const TaskStart& aStart);
std::uint64_t QuestionBytes(const LeaseRenewal& aRenewal);

// The bytes of one HTTP answer, with its headers.
std::uint64_t AnswerBytes(const TableAnswer& aAnswer);
std::uint64_t AnswerBytes(const TargetReport& aReport);
std::uint64_t AnswerBytes(const TaskReport& aReport);

// Question and answer of the host list.
std::uint64_t HostListBytes(const std::vector<TargetListing>& aTargets);

} // namespace lycheestep

#endif
