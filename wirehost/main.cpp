#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  return gannetcourse::wire::serve(std::cin, std::cout, std::cerr);
}
