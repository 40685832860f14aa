"""Stand-ins for the systems that wigeonarch depends on, with a demo, a load tool and benchmarks."""
