package loadtest

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Prices of requests, in credits.
const (
	pagePrice  = 1
	orderPrice = 3
)

// creditOrderTime is the minimum duration of an order.
const creditOrderTime = 10 * time.Millisecond

// CreditCluster is a cluster whose routers share the balances of prepaid accounts.
type CreditCluster struct {
	*FailoverCluster
	routerNames []string
	topUps      []string           // blocks of the top-up files
	funded      map[string]float64 // by account
	spent       map[string]float64 // by account: the price of the requests that were served
}

// creditBlocksFormat is the format of the blocks in the block fleet of a router's operator's file.
const creditBlocksFormat = `  takeover {
    strict = true
  }
  ledger = %q
  credit {
    topups = %q
    rest_s = 2
    chunk_ms = 250
    prices {
      part-page {
        each = %d
      }
      new-arrange {
        each = %d
      }
    }
  }
`

// StartCreditCluster starts a cluster whose routers share the balances of accounts. The map holds the initial funds of each
// account, in credits.
func StartCreditCluster(settings ClusterSettings, accounts map[string]float64) (*CreditCluster, error) {
	cluster, err := newCluster(settings.Seed)
	if err != nil {
		return nil, err
	}
	c := &CreditCluster{
		FailoverCluster: &FailoverCluster{Cluster: cluster, orders: newOrderRecorder(creditOrderTime, settings.Seed)},
		funded:          map[string]float64{},
		spent:           map[string]float64{},
	}
	if err := c.startRouters(settings, accounts); err != nil {
		return nil, c.closeAfter(err)
	}
	return c, nil
}

// startRouters writes the top-up files and starts the routers.
func (c *CreditCluster) startRouters(settings ClusterSettings, accounts map[string]float64) error {
	for i := range settings.Routers {
		c.routerNames = append(c.routerNames, strconv.Quote(routerName(i)))
	}
	for account, amount := range accounts {
		c.addTopUp("first-"+account, account, amount)
	}
	for i := range settings.Routers {
		if err := c.writeTopUps(i); err != nil {
			return err
		}
	}
	options := clusterFleet(settings.Routers)
	options.Answer = c.orders.answer
	err := c.start(settings.Program, options, func(router int) string {
		return fmt.Sprintf(creditBlocksFormat, c.filePath(fmt.Sprintf("%d.ledger", router)), c.topUpsPath(router), pagePrice, orderPrice)
	})
	if err != nil {
		return err
	}
	return c.waitForMembership()
}

// filePath returns the path of a file in the folder of the key file.
func (c *CreditCluster) filePath(name string) string {
	return filepath.Join(filepath.Dir(c.keyFile), name)
}

// topUpsPath returns the path of the top-up file that a router reads.
func (c *CreditCluster) topUpsPath(router int) string {
	return c.filePath(fmt.Sprintf("topups.hcl.%d", router))
}

// addTopUp adds a top-up to the text that writeTopUps writes.
func (c *CreditCluster) addTopUp(id, account string, amount float64) {
	c.topUps = append(c.topUps, fmt.Sprintf("topup %q {\n  account = %q\n  amount  = %g\n}\n", id, account, amount))
	c.funded[account] += amount
}

// writeTopUps writes the top-up file that a router reads.
func (c *CreditCluster) writeTopUps(router int) error {
	text := "among = [" + strings.Join(c.routerNames, ", ") + "]\n" + strings.Join(c.topUps, "")
	return replaceFile(c.topUpsPath(router), text)
}

// TopUp tops up an account. Only the routers in readers receive the new top-up file.
func (c *CreditCluster) TopUp(id, account string, amount float64, readers []int) error {
	c.addTopUp(id, account, amount)
	for _, i := range readers {
		if err := c.writeTopUps(i); err != nil {
			return err
		}
		c.Routers[i].Signal(syscall.SIGHUP)
	}
	return nil
}
