#include "catalogue_rules.h"

#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>
#include <string>

#include "json_access.h"
#include "json_text.h"

namespace lycheestep {

namespace {

using nlohmann::json;
using Names = std::set<std::string>;

// Tolerance for rounding errors in sums of decimal fractions.
constexpr double kSumTolerance = 1e-9;

std::string ItemPointer(const char* aList, std::size_t aIndex)
{
  return std::string("/") + aList + '/' + std::to_string(aIndex);
}

// Returns the names of the items in the list aList. Adds a problem for every
// item whose name an earlier item has.
Names UniqueNames(const json& aDocument,
                  const char* aList,
                  ProblemList& aProblems)
{
  Names names;
  std::size_t index = 0;
  for (const json& item : ListMember(aDocument, aList)) {
    const auto name = TextMember(item, "name");
    if (name && !names.insert(*name).second) {
      aProblems.Add(ItemPointer(aList, index) + "/name",
                    *name,
                    std::string("must be unique in /") + aList);
    }
    ++index;
  }
  return names;
}

std::string ListOf(const Names& aNames)
{
  std::string list;
  for (const std::string& name : aNames) {
    list += list.empty() ? "" : ", ";
    list += '"' + name + '"';
  }
  return list.empty() ? "none" : list;
}

// Formats a sum with few enough digits to hide its rounding error.
std::string FormatSum(double aSum)
{
  constexpr int kDigits = 6;
  std::ostringstream text;
  text << std::setprecision(kDigits) << aSum;
  return text.str();
}

void CheckWeights(const json& aDocument, ProblemList& aProblems)
{
  const json* weights = FindMember(aDocument, "weights");
  if (weights == nullptr) {
    return;
  }
  const auto waiting = NumberMember(*weights, "waiting");
  const auto packing = NumberMember(*weights, "packing");
  if (waiting && packing &&
      std::abs(*waiting + *packing - 1.0) > kSumTolerance) {
    aProblems.Add(
      "/weights", *weights, "\"waiting\" and \"packing\" must add up to 1");
  }
}

void CheckClassFloors(const json& aDocument, ProblemList& aProblems)
{
  const json* floors = FindMember(aDocument, "class_floors");
  if (floors == nullptr) {
    return;
  }
  double sum = 0.0;
  for (const char* name : { "urgent", "standard", "batch" }) {
    sum += NumberMember(*floors, name).value_or(0.0);
  }
  if (sum > 1.0 + kSumTolerance) {
    aProblems.Add(
      "/class_floors", *floors, "the floors must add up to at most 1");
  }
}

void CheckTeams(const json& aDocument, ProblemList& aProblems)
{
  double sum = 0.0;
  std::size_t index = 0;
  for (const json& team : ListMember(aDocument, "teams")) {
    const double floor = NumberMember(team, "floor").value_or(0.0);
    const double quota = NumberMember(team, "quota").value_or(1.0);
    if (floor > quota) {
      aProblems.Add(ItemPointer("teams", index) + "/floor",
                    floor,
                    "must be at most the team's quota");
    }
    sum += floor;
    ++index;
  }
  if (sum > 1.0 + kSumTolerance) {
    aProblems.AddText(
      "/teams", FormatSum(sum), "the floors must add up to at most 1");
  }
}

void CheckTaskCount(const json& aKind,
                    const std::string& aPointer,
                    ProblemList& aProblems)
{
  const std::string form = TextMember(aKind, "form").value_or("request");
  const std::int64_t tasks =
    std::llround(NumberMember(aKind, "tasks").value_or(1.0));
  if (form == "gang" && tasks < 2) {
    aProblems.Add(
      aPointer + "/tasks", tasks, "a gang must have 2 tasks or more");
  }
  if ((form == "request" || form == "job") && tasks > 1) {
    aProblems.Add(aPointer + "/tasks",
                  tasks,
                  "must be 1 for a " + form +
                    "; only \"gang\" and \"service\" have more");
  }
}

void CheckDurable(const json& aKind,
                  const std::string& aPointer,
                  ProblemList& aProblems)
{
  if (FlagMember(aKind, "durable").value_or(true)) {
    return;
  }
  const std::string form = TextMember(aKind, "form").value_or("request");
  const bool repeatable = FlagMember(aKind, "repeatable").value_or(true);
  if (!repeatable || form != "request") {
    aProblems.Add(aPointer + "/durable",
                  false,
                  "must be true, or left out, for jobs, gangs, services and "
                  "work that is not repeatable");
  }
}

void CheckTimes(const json& aKind,
                const std::string& aPointer,
                ProblemList& aProblems)
{
  const auto deadline = DurationMember(aKind, "deadline");
  if (deadline && *deadline <= Duration::zero()) {
    aProblems.Add(
      aPointer + "/deadline", aKind.at("deadline"), "must be longer than 0");
  }
  const auto limit = DurationMember(aKind, "run_time_limit");
  const auto expected =
    DurationMember(aKind, "run_time").value_or(std::chrono::seconds(1));
  if (limit && *limit > Duration::zero() && *limit < expected) {
    aProblems.Add(aPointer + "/run_time_limit",
                  aKind.at("run_time_limit"),
                  "must be at least \"run_time\" (1s unless given), or \"0s\" "
                  "for no limit");
  }
}

void CheckMemory(const json& aKind,
                 const std::string& aPointer,
                 ProblemList& aProblems)
{
  const json* demand = FindMember(aKind, "demand");
  if (demand == nullptr) {
    return;
  }
  const auto memory = SizeMember(*demand, "memory");
  if (memory && *memory == 0) {
    aProblems.Add(
      aPointer + "/demand/memory", demand->at("memory"), "must be more than 0");
  }
}

void CheckKinds(const json& aDocument,
                const Names& aTeams,
                ProblemList& aProblems)
{
  std::size_t index = 0;
  for (const json& kind : ListMember(aDocument, "kinds")) {
    const std::string pointer = ItemPointer("kinds", index);
    const auto team = TextMember(kind, "team");
    if (team && aTeams.count(*team) == 0) {
      aProblems.Add(pointer + "/team",
                    *team,
                    "must be one of the teams: " + ListOf(aTeams));
    }
    CheckTaskCount(kind, pointer, aProblems);
    CheckDurable(kind, pointer, aProblems);
    CheckTimes(kind, pointer, aProblems);
    CheckMemory(kind, pointer, aProblems);
    ++index;
  }
}

void CheckCustomer(const json& aCustomer,
                   const std::string& aPointer,
                   const Names& aKinds,
                   ProblemList& aProblems)
{
  std::size_t index = 0;
  for (const json& kind : ListMember(aCustomer, "kinds")) {
    if (kind.is_string() && aKinds.count(kind.get<std::string>()) == 0) {
      aProblems.Add(aPointer + "/kinds/" + std::to_string(index),
                    kind,
                    "must be one of the kinds of work: " + ListOf(aKinds));
    }
    ++index;
  }
  const bool promised = FlagMember(aCustomer, "promised").value_or(false);
  if (promised && TextMember(aCustomer, "contact").value_or("").empty()) {
    aProblems.AddText(aPointer + "/contact",
                      "(missing)",
                      "must say whom to call, since the customer is promised a "
                      "call");
  }
}

void CheckCustomers(const json& aDocument,
                    const Names& aKinds,
                    ProblemList& aProblems)
{
  std::size_t index = 0;
  for (const json& customer : ListMember(aDocument, "customers")) {
    CheckCustomer(customer, ItemPointer("customers", index), aKinds, aProblems);
    ++index;
  }
}

} // namespace

void CheckCatalogueRules(const json& aDocument, ProblemList& aProblems)
{
  const Names teams = UniqueNames(aDocument, "teams", aProblems);
  const Names kinds = UniqueNames(aDocument, "kinds", aProblems);
  UniqueNames(aDocument, "customers", aProblems);
  CheckWeights(aDocument, aProblems);
  CheckClassFloors(aDocument, aProblems);
  CheckTeams(aDocument, aProblems);
  CheckKinds(aDocument, teams, aProblems);
  CheckCustomers(aDocument, kinds, aProblems);
}

} // namespace lycheestep
