# Warnings for the project's own code. They are not set for generated code.
set(JAYRILL_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                     -Woverloaded-virtual -Werror)
# g++ 12 wrongly warns about overlapping copies in std::string (GCC bug 105651).
if(CMAKE_CXX_COMPILER_ID STREQUAL GNU AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  list(APPEND JAYRILL_WARNINGS -Wno-restrict)
endif()
# With sanitizers g++ takes members of a kj::Maybe for uninitialized. The build
# without sanitizers checks this.
if(JAYRILL_SANITIZE)
  list(APPEND JAYRILL_WARNINGS -Wno-maybe-uninitialized)
endif()

# jayrill_module(NAME SOURCES ... DEPENDS ...)
# Adds the static library jayrill_NAME from the sources of src/jayrill/NAME.
function(jayrill_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  list(TRANSFORM ARG_SOURCES PREPEND ${CMAKE_CURRENT_SOURCE_DIR}/${name}/)
  add_library(jayrill_${name} STATIC ${ARG_SOURCES})
  target_include_directories(jayrill_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(jayrill_${name} PRIVATE ${JAYRILL_WARNINGS})
  target_link_libraries(jayrill_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# jayrill_test(NAME SOURCES ... DEPENDS ... [LABELS ...] [TIMEOUT SECONDS])
# Adds a GoogleTest program. ctest runs each of its cases as a test of its own.
# The defaults are the label unit and a timeout of 120 seconds. With sanitizers
# timeouts are ten times as long: on some machines the address sanitizer's check
# for use after return slows property tests down by more than a hundred times.
function(jayrill_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
  # The thread sanitizer reports false races in these programs, because Qt is not
  # instrumented (tools/sanitizer_tests.sh).
  if(JAYRILL_SANITIZE MATCHES thread AND "qt-traffic" IN_LIST ARG_LABELS)
    return()
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${JAYRILL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gtest_main
                                        rapidcheck)
  if(NOT ARG_LABELS)
    set(ARG_LABELS unit)
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  if(JAYRILL_SANITIZE)
    math(EXPR ARG_TIMEOUT "${ARG_TIMEOUT} * 10")
  endif()
  # The default timeout of 5 s for listing the cases is too short for a program
  # with sanitizers on a busy machine. Without NO_PRETTY_VALUES the name of a
  # parameterized case contains the bytes of its parameter, which differ from run
  # to run.
  gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST DISCOVERY_TIMEOUT 60
    NO_PRETTY_VALUES PROPERTIES TIMEOUT ${ARG_TIMEOUT})
  # gtest_discover_tests splits a list of labels into separate properties.
  # Therefore the labels are set in a file that ctest reads after it has
  # discovered the cases.
  set(labels_file ${CMAKE_CURRENT_BINARY_DIR}/${name}_labels.cmake)
  file(WRITE ${labels_file}.new "foreach(case IN LISTS ${name}_TESTS)
  set_tests_properties(\"\${case}\" PROPERTIES LABELS \"${ARG_LABELS}\")
endforeach()
")
  file(COPY_FILE ${labels_file}.new ${labels_file} ONLY_IF_DIFFERENT)
  set_property(DIRECTORY APPEND PROPERTY TEST_INCLUDE_FILES ${labels_file})
endfunction()
