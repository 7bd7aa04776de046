#include "process/process_group.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

extern char** environ;

namespace geranium::process {
namespace {

pid_t Launch(const std::vector<std::string>& arguments, const char* output) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output,
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return error == 0 ? pid : -1;
}

int Reap(pid_t pid) {
  int status = 0;
  waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace

std::string Program(const std::string& name) {
  return std::string(GERANIUM_BUILD_DIR) + "/" + name;
}

int RunProgram(const std::vector<std::string>& arguments) {
  const pid_t pid = Launch(arguments, "/dev/null");
  return pid < 0 ? -1 : Reap(pid);
}

ProcessGroup::~ProcessGroup() {
  for (const auto& [name, pid] : processes_) kill(pid, SIGKILL);
  for (const auto& [name, pid] : processes_) Reap(pid);
}

void ProcessGroup::Spawn(const std::string& name,
                         const std::vector<std::string>& arguments) {
  const std::string output =
      Program("process-test-" + std::to_string(port_) + "-" + name + ".log");
  // A restarted program appends to its log.
  if (spawned_.insert(name).second) (void)unlink(output.c_str());
  const pid_t pid = Launch(arguments, output.c_str());
  if (pid <= 0) throw std::runtime_error("cannot start " + name);
  processes_[name] = pid;
}

void ProcessGroup::Signal(const std::string& name, int signal) {
  if (kill(processes_.at(name), signal) != 0) {
    throw std::runtime_error("cannot signal " + name);
  }
}

bool ProcessGroup::HasExited(const std::string& name) const {
  siginfo_t info{};
  // WNOWAIT leaves the status for AwaitExit.
  const int error = waitid(P_PID, static_cast<id_t>(processes_.at(name)), &info,
                           WEXITED | WNOHANG | WNOWAIT);
  return error == 0 && info.si_pid != 0;
}

int ProcessGroup::AwaitExit(const std::string& name) {
  const pid_t pid = processes_.at(name);
  processes_.erase(name);
  return Reap(pid);
}

}  // namespace geranium::process
