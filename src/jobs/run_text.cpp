#include "run_text.h"

#include <charconv>

namespace lycheestep {

namespace {

// Removes the last dot and the number after it from aText and returns the
// number. Returns nothing, and leaves aText as it is, if there is none.
std::optional<std::uint32_t> TakeLastNumber(std::string& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string::npos) {
    return std::nullopt;
  }
  std::uint32_t number = 0;
  const char* first = aText.data() + dot + 1;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(first, last, number);
  if (error != std::errc() || end != last) {
    return std::nullopt;
  }
  aText.resize(dot);
  return number;
}

} // namespace

std::string StepText(const StepName& aStep)
{
  return aStep.m_job.Text() + "." + std::to_string(aStep.m_occurrence) + "." +
         std::to_string(aStep.m_step);
}

std::string TaskText(const TaskName& aTask)
{
  return StepText(aTask.m_step) + "." + std::to_string(aTask.m_index);
}

std::string RunFields(const RunName& aRun, const TargetId& aTarget)
{
  return "task=" + TaskText(aRun.m_task) +
         " run=" + std::to_string(aRun.m_run) + " target=" + aTarget.Text();
}

std::optional<TaskName> ParseTaskText(const std::string& aText)
{
  std::string remaining = aText;
  const auto index = TakeLastNumber(remaining);
  const auto step = index ? TakeLastNumber(remaining) : std::nullopt;
  const auto occurrence = step ? TakeLastNumber(remaining) : std::nullopt;
  if (!occurrence || remaining.empty()) {
    return std::nullopt;
  }
  return TaskName{ StepName{ JobId(remaining), *occurrence, *step }, *index };
}

} // namespace lycheestep
