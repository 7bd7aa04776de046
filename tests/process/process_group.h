#ifndef GERANIUM_TESTS_PROCESS_PROCESS_GROUP_H_
#define GERANIUM_TESTS_PROCESS_PROCESS_GROUP_H_

#include <sys/types.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace geranium::process {

/// Child processes of a test, by name. Kills those left when destroyed.
class ProcessGroup {
 public:
  /// `port` makes the names of the log files unique to this group.
  explicit ProcessGroup(int port) : port_(port) {}
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  void Spawn(const std::string& name,
             const std::vector<std::string>& arguments);
  void Signal(const std::string& name, int signal);
  pid_t Pid(const std::string& name) const { return processes_.at(name); }
  bool HasExited(const std::string& name) const;
  /// Waits for the exit. Returns its status; -1 if a signal ended the process.
  int AwaitExit(const std::string& name);

 private:
  int port_;
  std::map<std::string, pid_t> processes_;
  std::set<std::string> spawned_;
};

/// The path of a program in the build directory.
std::string Program(const std::string& name);
/// Runs a program, waits for its exit and returns its status.
int RunProgram(const std::vector<std::string>& arguments);

}  // namespace geranium::process

#endif  // GERANIUM_TESTS_PROCESS_PROCESS_GROUP_H_
