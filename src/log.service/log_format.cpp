#include "log_format.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace lycheestep {

namespace {

double ToFractionalMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

// Replaces control characters by spaces. Otherwise a request whose text holds a
// line feed could forge a log line.
std::string OneLine(const std::string& aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  std::string line = aText;
  for (char& c : line) {
    if (static_cast<unsigned char>(c) < kFirstPrintable) {
      c = ' ';
    }
  }
  return line;
}

std::string Dump(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

const char* ToString(DecisionKind aDecision)
{
  switch (aDecision) {
    case DecisionKind::kAdmitted:
      return "admitted";
    case DecisionKind::kRefused:
      return "refused";
    case DecisionKind::kPlaced:
      return "placed";
    case DecisionKind::kForwarded:
      return "forwarded";
    case DecisionKind::kRetried:
      return "retried";
    case DecisionKind::kFinished:
      return "finished";
    case DecisionKind::kStopped:
      return "stopped";
  }
  return "unknown";
}

const char* PrefixOf(DecisionKind aDecision)
{
  const bool aboutTarget =
    aDecision == DecisionKind::kPlaced || aDecision == DecisionKind::kRetried ||
    aDecision == DecisionKind::kFinished || aDecision == DecisionKind::kStopped;
  return aboutTarget ? "placement" : "routing";
}

std::string DescribeDecision(const LogDecision& aDecision)
{
  std::string line = ToString(aDecision.m_decision);
  line += " request " + aDecision.m_request.Text();
  line += " kind " + aDecision.m_kind.Text();
  if (!aDecision.m_target.Empty()) {
    line += " target " + aDecision.m_target.Text();
  }
  constexpr std::size_t kNumberLength = 32;
  std::array<char, kNumberLength> waited{};
  std::snprintf(waited.data(),
                waited.size(),
                "%.1f",
                ToFractionalMilliseconds(aDecision.m_waited));
  line += ": " + aDecision.m_why + "; ";
  line += std::to_string(aDecision.m_candidates) + " candidates, waited ";
  line += waited.data();
  line += " ms";
  return OneLine(line);
}

std::string DecisionToJson(const LogDecision& aDecision)
{
  return Dump(
    { { "part", PrefixOf(aDecision.m_decision) },
      { "decision", ToString(aDecision.m_decision) },
      { "request", aDecision.m_request.Text() },
      { "kind", aDecision.m_kind.Text() },
      { "target", aDecision.m_target.Text() },
      { "why", aDecision.m_why },
      { "candidates", aDecision.m_candidates },
      { "waited_ms", ToFractionalMilliseconds(aDecision.m_waited) } });
}

std::string NoteToJson(const LogNote& aNote)
{
  return Dump({ { "part", aNote.m_part },
                { "text", aNote.m_text },
                { "warning", aNote.m_warning } });
}

} // namespace lycheestep
