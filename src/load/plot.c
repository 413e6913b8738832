#include "load/plot.h"

#include <glib.h>

#define WIDTH 800.0
#define PANEL_HEIGHT 170.0
#define MARGIN_LEFT 70.0
#define MARGIN_TOP 40.0
#define PANEL_GAP 60.0

/// One line of a panel.
struct line {
	const char *name;
	const char *colour;
	double (*value)(const struct loadgen_second *s);
};

struct panel {
	const char *title;
	const struct line *lines;
	size_t n;
};

static double
sent_value(const struct loadgen_second *s)
{
	return s->sent;
}

static double
within_target_value(const struct loadgen_second *s)
{
	return s->within_target;
}

static double
refused_value(const struct loadgen_second *s)
{
	return s->refused;
}

static double
failed_value(const struct loadgen_second *s)
{
	return s->failed;
}

static double
ttft_mean_value(const struct loadgen_second *s)
{
	return s->completed == 0 ? 0
				 : (double)s->ttft_sum_us / s->completed / 1000;
}

static double
ttft_max_value(const struct loadgen_second *s)
{
	return (double)s->ttft_max_us / 1000;
}

static double
tokens_value(const struct loadgen_second *s)
{
	return s->tokens;
}

static const struct line request_lines[] = {
	{ "sent", "#888888", sent_value },
	{ "whole and in time", "#1b7f3b", within_target_value },
	{ "refused", "#d98e04", refused_value },
	{ "failed, cut or wrong", "#c0182b", failed_value },
};

static const struct line ttft_lines[] = {
	{ "mean", "#1f5fa8", ttft_mean_value },
	{ "longest", "#9fb9d9", ttft_max_value },
};

static const struct line token_lines[] = {
	{ "tokens", "#5b3a8c", tokens_value },
};

static const struct panel panels[] = {
	{ "requests a second", request_lines, G_N_ELEMENTS(request_lines) },
	{ "first token or answer, ms", ttft_lines, G_N_ELEMENTS(ttft_lines) },
	{ "tokens a second", token_lines, G_N_ELEMENTS(token_lines) },
};

/// Largest value of a panel's lines in the first `n_seconds` seconds; at
/// least 1.
static double
panel_max(
    const struct loadgen_results *f, const struct panel *p, uint32_t n_seconds)
{
	double max = 1;

	for (size_t l = 0; l < p->n; l++) {
		for (uint32_t i = 0; i < n_seconds; i++)
			max = MAX(max, p->lines[l].value(&f->per_second[i]));
	}
	return max;
}

static void
draw_line(GString *out, const struct loadgen_results *f, const struct line *l,
    uint32_t n_seconds, double top_y, double max)
{
	g_string_append_printf(out,
	    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" "
	    "points=\"",
	    l->colour);
	for (uint32_t i = 0; i < n_seconds; i++) {
		const double x = MARGIN_LEFT +
		    (WIDTH - MARGIN_LEFT - 20) * i /
			(n_seconds > 1 ? n_seconds - 1 : 1);
		const double y = top_y +
		    PANEL_HEIGHT * (1 - l->value(&f->per_second[i]) / max);

		g_string_append_printf(out, "%.1f,%.1f ", x, y);
	}
	g_string_append(out, "\"/>\n");
}

/// Appends a panel to the SVG.
///
/// @param n_seconds  seconds of the run to plot, one point each
/// @param top_y      y coordinate of its upper edge, in pixels
static void
draw_panel(GString *out, const struct loadgen_results *f, const struct panel *p,
    uint32_t n_seconds, double top_y)
{
	const double max = panel_max(f, p, n_seconds);
	double x = MARGIN_LEFT + 220;

	g_string_append_printf(out,
	    "<text x=\"%.0f\" y=\"%.0f\" font-weight=\"bold\">%s</text>\n"
	    "<rect x=\"%.0f\" y=\"%.0f\" width=\"%.0f\" height=\"%.0f\" "
	    "fill=\"none\" stroke=\"#cccccc\"/>\n"
	    "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\">%.0f</text>\n"
	    "<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\">0</text>\n",
	    MARGIN_LEFT, top_y - 8, p->title, MARGIN_LEFT, top_y,
	    WIDTH - MARGIN_LEFT - 20, PANEL_HEIGHT, MARGIN_LEFT - 6, top_y + 10,
	    max, MARGIN_LEFT - 6, top_y + PANEL_HEIGHT);
	for (size_t l = 0; l < p->n; l++) {
		draw_line(out, f, &p->lines[l], n_seconds, top_y, max);
		g_string_append_printf(out,
		    "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", x,
		    top_y - 8, p->lines[l].colour, p->lines[l].name);
		x += 140;
	}
}

char *
loadgen_plot(const struct loadgen_results *f)
{
	const uint32_t n = MIN((uint32_t)f->seconds + 1, f->n_seconds);
	GString *out = g_string_new(NULL);
	double top = MARGIN_TOP;

	g_string_append_printf(out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
	    "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
	    WIDTH,
	    MARGIN_TOP + G_N_ELEMENTS(panels) * (PANEL_HEIGHT + PANEL_GAP));
	for (size_t i = 0; i < G_N_ELEMENTS(panels); i++) {
		draw_panel(out, f, &panels[i], n, top);
		top += PANEL_HEIGHT + PANEL_GAP;
	}
	g_string_append_printf(out,
	    "<text x=\"%.0f\" y=\"%.0f\">0 to %u s</text>\n</svg>\n",
	    MARGIN_LEFT, top - PANEL_GAP + 18, n);
	return g_string_free(out, FALSE);
}
