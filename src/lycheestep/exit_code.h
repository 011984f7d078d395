#ifndef LYCHEESTEP_EXIT_CODE_H
#define LYCHEESTEP_EXIT_CODE_H

namespace lycheestep {

// What the program returns to its shell.
enum class ExitCode
{
  kDone = 0,        // done, or accepted and pending
  kRefused = 1,     // refused, not run, or ran and failed
  kInvalid = 2,     // wrong usage or invalid input
  kUnreachable = 3, // the host could not be reached: nothing was sent
  kUnknown = 4,     // sent, but the effect is not known
};

} // namespace lycheestep

#endif
