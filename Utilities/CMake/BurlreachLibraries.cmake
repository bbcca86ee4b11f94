# Defines targets for the libraries in Utilities/packages.txt.
find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(CLI11 REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS log log_setup thread)

find_package(PkgConfig REQUIRED)
find_package(OpenSSL REQUIRED COMPONENTS Crypto)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
if(BURLREACH_TESTS)
    find_package(benchmark REQUIRED)
    pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
endif()

# The flags in cpp-httplib's package determine its class layout, so all users must
# compile with them.
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
add_library(burlreach_httplib INTERFACE)
target_link_libraries(burlreach_httplib INTERFACE PkgConfig::HTTPLIB Threads::Threads)

add_library(burlreach_asio INTERFACE)
target_compile_definitions(burlreach_asio INTERFACE ASIO_STANDALONE ASIO_NO_DEPRECATED)
target_link_libraries(burlreach_asio INTERFACE Threads::Threads)

add_library(burlreach_boost_log INTERFACE)
target_compile_definitions(burlreach_boost_log INTERFACE BOOST_LOG_DYN_LINK)
target_link_libraries(burlreach_boost_log INTERFACE Boost::log Boost::log_setup Boost::thread)
