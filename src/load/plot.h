#ifndef LOAD_PLOT_H
#define LOAD_PLOT_H

#include "load/results.h"

/// Plot of a run over time as a self-contained SVG, to be freed.
char *loadgen_plot(const struct loadgen_results *f);

#endif
