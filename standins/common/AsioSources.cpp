// The only translation unit that may include the separately compiled sources of Asio and Beast.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
