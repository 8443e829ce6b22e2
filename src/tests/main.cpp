#define BOOST_TEST_MODULE amaranthladder
#include <boost/test/unit_test.hpp>
