/// @file
/// A program with one fault of the kind that its argument names, or with "none". scripts/test shows
/// with it that what a sanitizer finds is counted as a failure.

#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace {

/// Reads one item behind the end of a buffer.
int ReadBehindEnd()
{
  const std::vector<int> items(1);
  const int* volatile begin = items.data();
  return begin[1];
}

int OverflowInteger()
{
  volatile int largest = 0x7fffffff;
  return largest + 1;
}

/// Two threads write one number without a lock.
int RaceOnNumber()
{
  int n = 0;
  std::thread other([&n] { n = 1; });
  n = 2;
  other.join();
  return n;
}

} // namespace

int main(int aCount, char** aWords)
{
  const std::string kind = aCount == 2 ? aWords[1] : "";
  if (kind == "none") {
    return 0;
  }
  if (kind == "address") {
    std::cout << ReadBehindEnd() << '\n';
    return 0;
  }
  if (kind == "undefined") {
    std::cout << OverflowInteger() << '\n';
    return 0;
  }
  if (kind == "thread") {
    std::cout << RaceOnNumber() << '\n';
    return 0;
  }
  std::cerr << "usage: known_fault none|address|undefined|thread\n";
  return 2;
}
