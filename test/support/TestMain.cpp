#define BOOST_TEST_MODULE sailpath
#include <boost/test/unit_test.hpp>
