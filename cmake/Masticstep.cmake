# ccache with paths relative to the source folder, so that checkouts in other folders share results.
find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}
                                  CCACHE_NOHASHDIR=1 ${CCACHE})
endif()

# masticstep_library(NAME USES lib... LINKS target...): builds libs/NAME from its src/*.cpp and,
# if tests/*.cpp exist, the test program NAME_tests, run by CTest. TEST_USES adds libraries for the tests.
function(masticstep_library aName)
  cmake_parse_arguments(ARG "" "" "USES;LINKS;TEST_USES" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp src/*.cc)
  list(TRANSFORM ARG_USES PREPEND masticstep_ OUTPUT_VARIABLE uses)
  list(TRANSFORM ARG_TEST_USES PREPEND masticstep_ OUTPUT_VARIABLE testUses)
  if(sources)
    add_library(masticstep_${aName} STATIC ${sources})
    set(scope PUBLIC)
    target_include_directories(masticstep_${aName} PRIVATE src)
  else()
    add_library(masticstep_${aName} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(masticstep_${aName} ${scope} include)
  target_link_libraries(masticstep_${aName} ${scope} ${uses} ${ARG_LINKS})
  file(GLOB_RECURSE tests CONFIGURE_DEPENDS tests/*.cpp)
  if(tests)
    add_executable(${aName}_tests ${tests})
    target_include_directories(${aName}_tests PRIVATE src)
    target_link_libraries(${aName}_tests PRIVATE masticstep_${aName} masticstep_testing ${testUses})
    add_test(NAME ${aName} COMMAND ${aName}_tests)
    set_tests_properties(${aName} PROPERTIES TIMEOUT 600
      ENVIRONMENT "MASTICSTEP_KNOWN_RED=${CMAKE_SOURCE_DIR}/KNOWN-RED.txt;MASTICSTEP_SOURCE=${CMAKE_SOURCE_DIR};MASTICSTEP_BUILD=${CMAKE_BINARY_DIR}")
  endif()
endfunction()

# masticstep_program(NAME USES lib... SOURCES file...): builds one executable into bin/.
function(masticstep_program aName)
  cmake_parse_arguments(ARG "" "" "USES;LINKS;SOURCES" ${ARGN})
  list(TRANSFORM ARG_USES PREPEND masticstep_ OUTPUT_VARIABLE uses)
  add_executable(${aName} ${ARG_SOURCES})
  target_link_libraries(${aName} PRIVATE ${uses} ${ARG_LINKS})
  set_target_properties(${aName} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
