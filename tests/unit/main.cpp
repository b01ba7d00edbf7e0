/**
 * @file main.cpp Runs all registered unit tests, or only the fixture or test that is named; tests
 * of the registry "by_name" run only when named.
 */
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

auto main(int argc, char *argv[]) -> int
{
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    const std::string name = argc > 1 ? argv[1] : "";
    if (!name.empty()) {
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry("by_name").makeTest());
    }
    return runner.run(name) ? 0 : 1;
}
