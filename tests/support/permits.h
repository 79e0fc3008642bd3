/// @file
/// Permits for attempts whose requests have no record of their own.
#pragma once

#include "core/execution_record.h"

namespace hawthornlug::test {

inline AttemptPermit MakePermit()
{
  ExecutionRecord record;
  return *record.Begin();
}

} // namespace hawthornlug::test
