#ifndef LOAD_PLOT_H
#define LOAD_PLOT_H

#include "load/results.h"

/// Draws a run over time: requests, time to first token and tokens a second.
///
/// @return a self-contained SVG; the caller frees it with g_free()
char *loadgen_plot(const struct loadgen_results *f);

#endif
