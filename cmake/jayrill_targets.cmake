# Warnings apply to the project's own code only, not to generated code.
set(JAYRILL_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                     -Woverloaded-virtual -Werror)

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

# jayrill_test(NAME LABELS ... SOURCES ... DEPENDS ...)
# Adds a GoogleTest program whose cases ctest runs one by one. LABELS takes one
# label.
function(jayrill_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${JAYRILL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gtest_main
                                        rapidcheck)
  if(NOT ARG_LABELS)
    set(ARG_LABELS unit)
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST
    PROPERTIES LABELS "${ARG_LABELS}" TIMEOUT ${ARG_TIMEOUT})
endfunction()
