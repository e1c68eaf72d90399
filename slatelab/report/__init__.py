"""Reports: the progress table during a run, and the plots and the page after it. They read only results, and neither
run nor judge anything."""
