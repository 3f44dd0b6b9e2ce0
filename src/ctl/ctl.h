// Entry point of toucanctl, the command-line tool for operators.
#ifndef TOUCAN_CTL_CTL_H
#define TOUCAN_CTL_CTL_H

#include <ostream>
#include <string>
#include <vector>

namespace toucan::ctl {

// Exit codes, as described in --help.
constexpr int ExitDone = 0;
constexpr int ExitRefused = 1;     // refused, or not confirmed by all instances
constexpr int ExitUsage = 2;       // wrong command line, setting, file name or instance name
constexpr int ExitUnreachable = 3; // the platform or an instance cannot be reached

// Runs one command and returns the exit code. Args does not contain the program name.
int run(const std::vector<std::string> &Args, std::ostream &Out, std::ostream &Err);

} // namespace toucan::ctl

#endif // TOUCAN_CTL_CTL_H
