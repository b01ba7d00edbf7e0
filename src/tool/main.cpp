/** @file main.cpp Entry point of banyanringctl. */
#include <iostream>

auto main() -> int
{
    std::cout << "banyanringctl\n";
    return 0;
}
