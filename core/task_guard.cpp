#include "core/task_guard.h"

#include "core/event_log.h"

#include <iostream>

namespace hawthornlug {

void WriteTaskError(const char* aWhat)
{
  const EventInfo& info = InfoOf(EventId::kTaskFailed);
  std::cerr << 'H' << info.number << ' ' << info.name << " what=" << aWhat << '\n';
}

} // namespace hawthornlug
