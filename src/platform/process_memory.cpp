#include "platform/process_memory.h"

#include <malloc.h>

#include <fstream>
#include <sstream>
#include <string>

namespace gannetcourse::platform {
namespace {

constexpr std::uint64_t kBytesPerKb = 1024;

// Sets `bytes` if the line of /proc/self/status has the field `name`: "VmRSS:      1234 kB".
void readField(const std::string& line, const char* name, std::uint64_t& bytes) {
  std::istringstream words(line);
  std::string field;
  std::uint64_t kb = 0;
  if (words >> field >> kb && field == name) bytes = kb * kBytesPerKb;
}

}  // namespace

ProcessMemory processMemory() {
  ProcessMemory memory;
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    readField(line, "VmRSS:", memory.resident);
    readField(line, "VmHWM:", memory.residentPeak);
    readField(line, "RssAnon:", memory.residentPrivate);
  }
  const auto heap = mallinfo2();
  memory.heapInUse = heap.uordblks + heap.hblkhd;
  memory.heapFree = heap.fordblks;
  return memory;
}

void trimHeap() { malloc_trim(0); }

}  // namespace gannetcourse::platform
