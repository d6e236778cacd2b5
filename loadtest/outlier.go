package loadtest

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

const (
	outlierCache  = 0
	outlierMetric = "app_fleet_sick{cache=\"s-1\"} 1\n"
)

var outlierErrorsMetric = regexp.MustCompile(`app_fleet_count\{of="errors s-1"\} (\d+)`)

// CheckOutlierAgreement makes a page cache fail all requests until every router considers it an outlier. It then makes the
// page cache serve all requests until no router considers it an outlier and all routers have the same count of its errors.
// The error says on what the routers did not agree in time.
func CheckOutlierAgreement(settings ClusterSettings) error {
	c, err := startBudgetCluster(settings, 0)
	if err != nil {
		return err
	}
	defer c.Close()
	c.startLoads(func(int) float64 { return budgetLoadRate }, settings.Seed)
	for _, failing := range []bool{true, false} {
		outlier := noOutlier
		if failing {
			outlier = outlierCache
		}
		c.recorder.setOutlier(outlier)
		agreed := func(metrics string) bool { return metrics != "" && strings.Contains(metrics, outlierMetric) == failing }
		if err := c.waitForMetrics(agreed); err != nil {
			return fmt.Errorf("not all routers agree on a page cache (outlier: %v): %w", failing, err)
		}
	}
	c.stopLoads()
	errorCount := fmt.Sprint(c.recorder.outlierAttempts())
	return c.waitForMetrics(func(metrics string) bool {
		match := outlierErrorsMetric.FindStringSubmatch(metrics)
		return match != nil && match[1] == errorCount
	})
}

// countOutlierAttempts counts the attempts of routers at a page cache that fails all requests. If shared is set, the routers
// share what they learn about page caches; otherwise they share no state.
func countOutlierAttempts(settings ClusterSettings, shared bool) (int, error) {
	c, err := startForOutlier(settings, shared)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.recorder.setOutlier(outlierCache)
	c.startLoads(func(int) float64 { return budgetLoadRate }, settings.Seed)
	time.Sleep(settings.FaultLength)
	return c.recorder.outlierAttempts(), nil
}

func startForOutlier(settings ClusterSettings, shared bool) (*BudgetCluster, error) {
	if shared {
		return startBudgetCluster(settings, 0)
	}
	return startWithoutBudgets(settings)
}
